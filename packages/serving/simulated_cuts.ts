import { createSeededRandom, type Milliseconds } from "@heroncleat/base";
import type { CutPolicy } from "./cut_policy.ts";
import type { CutReport } from "./cut_report.ts";
import type { KnownEntry } from "./known_entry.ts";
import { RelayEntries } from "./relay_entries.ts";
import { UpstreamReachability } from "./upstream_reachability.ts";

const SERVICE = "desk";
const UPSTREAM_COUNT = 13;
const ZONE_COUNT = 4;
/** Time after which a connection attempt over a silent link fails. */
const CONNECT_TIMEOUT: Milliseconds = 300;
const REQUEST_TIMEOUT: Milliseconds = 1000;
/** Time until all processes know which entries reach no upstream. */
const LISTING_LAG: Milliseconds = 300;
/** How long callers keep a list of entries; a third of them keeps it longer. */
const LIST_LIFETIME: Milliseconds = 2000;
const LONG_LIST_LIFETIME: Milliseconds = 6000;
const REQUESTS_PER_ENTRY_AND_SECOND = 5;
const CHECK_INTERVAL: Milliseconds = 100;

type Scenario = {
  readonly seed: number;
  readonly entryCount: number;
  /** Number of entries whose links fall silent, or the first zone. */
  readonly cut: number | "zone";
  readonly duration: Milliseconds;
};

/** A request that its entry passes on. */
type RelayedRequest = {
  readonly asked: Set<string>;
  readonly refusingZones: Set<string>;
  readonly finish: (isServed: boolean) => void;
};

type SimulatedEntry = {
  readonly known: KnownEntry;
  readonly isCut: boolean;
  readonly reachability: UpstreamReachability;
  readonly relays: RelayEntries;
  /** When it reported that it reaches no upstream. */
  lostAt: Milliseconds;
};

/**
 * Plays a cut of entries from all upstreams in virtual time, with the decisions
 * of real entries and callers that keep lists of them.
 *
 * @internal
 */
export class SimulatedCut {
  readonly #scenario: Scenario;
  readonly #policy: CutPolicy;
  readonly #random: () => number;
  readonly #entries: SimulatedEntry[] = [];
  readonly #queue: { at: Milliseconds; run: () => void }[] = [];
  readonly report: CutReport = {
    atFirst: { served: 0, sent: 0 },
    later: { served: 0, sent: 0 },
    elsewhere: { served: 0, sent: 0 },
    relayed: 0,
    slowRefusals: 0,
  };
  #now: Milliseconds = 0;
  #list: readonly KnownEntry[] | undefined;

  constructor(scenario: Scenario, policy: CutPolicy) {
    this.#scenario = scenario;
    this.#policy = policy;
    this.#random = createSeededRandom(scenario.seed);
    for (let index = 0; index < scenario.entryCount; index += 1) {
      const zone = `zone-${index % ZONE_COUNT}`;
      const name = `entry-${index}`;
      this.#entries.push({
        known: { name, zone, region: "r", address: `${name}:1` },
        isCut: scenario.cut === "zone"
          ? index % ZONE_COUNT === 0
          : index < scenario.cut,
        reachability: new UpstreamReachability(),
        relays: new RelayEntries(),
        lostAt: Infinity,
      });
    }
  }

  run(): CutReport {
    const { entryCount, duration } = this.#scenario;
    const callers = entryCount;
    for (let caller = 0; caller < callers; caller += 1) {
      this.#startCaller(caller);
    }
    this.#schedule(CHECK_INTERVAL, () => this.#check());
    while (this.#queue.length > 0) {
      const next = this.#takeNext();
      this.#now = next.at;
      if (this.#now > duration + REQUEST_TIMEOUT) {
        break;
      }
      next.run();
    }
    return this.report;
  }

  #startCaller(caller: number): void {
    const lifetime = caller % 3 === 0 ? LONG_LIST_LIFETIME : LIST_LIFETIME;
    let list = this.#entries;
    let listedAt = -this.#random() * lifetime;
    let entry = this.#pick(list);
    const send = () => {
      if (this.#now > this.#scenario.duration) {
        return;
      }
      if (this.#now - listedAt > lifetime) {
        list = this.#listForCallers();
        listedAt = this.#now;
        entry = list.includes(entry) ? entry : this.#pick(list);
      }
      this.#sendRequest(entry);
      const pause = 2 * this.#random() * 1000 / REQUESTS_PER_ENTRY_AND_SECOND;
      this.#schedule(pause, send);
    };
    this.#schedule(this.#random() * 200, send);
  }

  #listForCallers(): SimulatedEntry[] {
    const reaching = this.#entries.filter((entry) => !this.#isKnownLost(entry));
    return this.#policy.isUnlisted && reaching.length > 0
      ? reaching
      : this.#entries;
  }

  /** Whether others have heard that an entry reaches no upstream. */
  #isKnownLost({ lostAt }: SimulatedEntry): boolean {
    return this.#now >= lostAt + LISTING_LAG;
  }

  #sendRequest(entry: SimulatedEntry): void {
    const sentAt = this.#now;
    const finish = (isServed: boolean) => {
      const isInTime = this.#now - sentAt <= REQUEST_TIMEOUT;
      const share = this.#shareOf(entry, sentAt);
      share.sent += 1;
      share.served += isServed && isInTime ? 1 : 0;
      if (!isServed && sentAt >= 3000 && this.#now - sentAt > 50) {
        this.report.slowRefusals += 1;
      }
    };
    if (!entry.isCut) {
      finish(true);
    } else if (this.#policy.relays && entry.reachability.isInDoubt(sentAt)) {
      this.#relay(entry, createRelayed(entry, finish));
    } else if (entry.reachability.isCutOff && !this.#policy.relays) {
      finish(false);
    } else {
      this.#tryUpstream(entry, () => {
        if (this.#policy.relays) {
          this.#relay(entry, createRelayed(entry, finish));
        } else {
          finish(false);
        }
      });
    }
  }

  #shareOf(
    entry: SimulatedEntry,
    sentAt: Milliseconds,
  ): CutReport["elsewhere"] {
    if (!entry.isCut) {
      return this.report.elsewhere;
    }
    return sentAt < 3000 ? this.report.atFirst : this.report.later;
  }

  /** Fails, as only entries without links try in this simulation. */
  #tryUpstream(entry: SimulatedEntry, onFailed: () => void): void {
    const startedAt = this.#now;
    const upstream = Math.floor(this.#random() * UPSTREAM_COUNT);
    this.#schedule(CONNECT_TIMEOUT, () => {
      this.#recordFailure(entry, { upstream, startedAt });
      onFailed();
    });
  }

  #recordFailure(
    entry: SimulatedEntry,
    { upstream, startedAt }: { upstream: number; startedAt: Milliseconds },
  ): void {
    const verdict = entry.reachability.recordFailure(`u${upstream}`, {
      startedAt,
      now: this.#now,
      upstreams: UPSTREAM_COUNT,
      isSilent: true,
    });
    if (verdict === "cut_off") {
      entry.lostAt = this.#now;
    } else if (verdict === "probe") {
      this.#probeMissing(entry);
    }
  }

  #probeMissing(entry: SimulatedEntry): void {
    const startedAt = this.#now;
    let missing = entry.reachability.countMissing({
      upstreams: UPSTREAM_COUNT,
    });
    for (let upstream = 0; missing > 0; upstream += 1) {
      if (!entry.reachability.hasFailed(`u${upstream}`)) {
        missing -= 1;
        this.#schedule(
          CONNECT_TIMEOUT,
          () => this.#recordFailure(entry, { upstream, startedAt }),
        );
      }
    }
  }

  #relay(
    from: SimulatedEntry,
    request: RelayedRequest,
  ): void {
    const { asked, finish } = request;
    const chosen = asked.size > this.#policy.maxEntries
      ? undefined
      : from.relays.choose(this.#listForEntries(), {
        service: SERVICE,
        zone: from.known.zone,
        region: from.known.region,
        excluded: asked,
        refusingZones: request.refusingZones,
        now: this.#now,
        random: this.#random,
      });
    if (chosen === undefined) {
      finish(false);
      return;
    }
    asked.add(chosen.name);
    this.report.relayed += 1;
    const to = this.#entries.find(({ known }) => known.name === chosen.name)!;
    if (!to.isCut) {
      if (this.#policy.remembers === "doubted_and_proven") {
        from.relays.recordServed(chosen.name, SERVICE, this.#now);
      }
      finish(true);
      return;
    }
    const onRefused = () => {
      if (to.reachability.isCutOff) {
        from.relays.recordUnable(chosen.name, SERVICE, this.#now);
      } else if (
        this.#policy.remembers !== "unable" &&
        to.reachability.isInDoubt(this.#now)
      ) {
        from.relays.recordDoubt(chosen.name, SERVICE, this.#now);
      }
      request.refusingZones.add(chosen.zone);
      this.#relay(from, request);
    };
    if (to.reachability.isInDoubt(this.#now)) {
      this.#schedule(2, onRefused);
    } else {
      this.#tryUpstream(to, onRefused);
    }
  }

  /** The list of entries, which changes with the checks. */
  #listForEntries(): readonly KnownEntry[] {
    this.#list ??= this.#entries.map((entry) =>
      this.#isKnownLost(entry)
        ? { ...entry.known, unreachable: [SERVICE] }
        : entry.known
    );
    return this.#list;
  }

  /** Probes of entries that are cut off, which fail during the cut. */
  #check(): void {
    this.#list = undefined;
    for (const entry of this.#entries) {
      if (entry.reachability.takeProbe(undefined, this.#now)) {
        const upstream = Math.floor(this.#random() * UPSTREAM_COUNT);
        const startedAt = this.#now;
        this.#schedule(
          CONNECT_TIMEOUT,
          () => this.#recordFailure(entry, { upstream, startedAt }),
        );
      }
    }
    this.#schedule(CHECK_INTERVAL, () => this.#check());
  }

  #pick(list: readonly SimulatedEntry[]): SimulatedEntry {
    return list[Math.floor(this.#random() * list.length)]!;
  }

  #schedule(delay: Milliseconds, run: () => void): void {
    const at = this.#now + delay;
    let low = 0;
    let high = this.#queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#queue[middle]!.at <= at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.#queue.splice(low, 0, { at, run });
  }

  #takeNext(): { at: Milliseconds; run: () => void } {
    return this.#queue.shift()!;
  }
}

function createRelayed(
  { known }: SimulatedEntry,
  finish: (isServed: boolean) => void,
): RelayedRequest {
  return { asked: new Set([known.name]), refusingZones: new Set(), finish };
}

import { createSeededRandom, type Milliseconds } from "@heroncleat/base";
import { hashToUnit } from "./hash_to_unit.ts";
import { originHolders } from "./origin_holders.ts";
import type { OriginPolicy } from "./origin_policy.ts";
import type { OriginReport } from "./origin_report.ts";
import { OriginSearch, type OriginSearchResult } from "./origin_search.ts";
import { PossibleOrigins } from "./possible_origins.ts";
import { RevisionCounter } from "./revision_counter.ts";
import type { Route } from "./route.ts";
import { RouteKind } from "./route_kind.ts";
import type { SimulatedEntry } from "./simulated_origin_entry.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import { StreamOrigins } from "./stream_origins.ts";
import { STREAM_RETENTION } from "./stream_retention.ts";
import { VersionLog } from "./version_log.ts";
import { VirtualTime } from "./virtual_time.ts";

const SERVICE = "desk";
const REPLICA = "replica";
const ZONE_COUNT = 4;
const SYNC_INTERVAL: Milliseconds = 400;
const SWEEP_INTERVAL: Milliseconds = 5000;
const SEARCH_INTERVAL: Milliseconds = 10;
/** As at entries: reply age for trust, and hold of a version that is new. */
const CURRENT_TIMEOUT: Milliseconds = 1000;
const NEW_VERSION_HOLD: Milliseconds = 1500;
const MESSAGE_LOSS = 0.01;
const BREAK_SHARE = 0.3;
const STREAM_PAUSE: Milliseconds = 100;
const UPSTREAMS_PER_VERSION = 4;
/** Times at which versions appear, entries are killed or cut off, on average. */
const VERSION_INTERVAL: Milliseconds = 40_000;
const ENTRY_FAULT_INTERVAL: Milliseconds = 15_000;
const CUT_DURATION: Milliseconds = 8000;
const ENTRY_DOWNTIME: Milliseconds = 500;
/** Time after which the versions of the whole retention are known. */
const SETTLED_AFTER: Milliseconds = STREAM_RETENTION + 10_000;

const ROUTE: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: RouteKind.streaming,
  targets: [{ service: SERVICE, weight: 1 }],
  timeout: 15_000,
  latencyObjective: 1000,
  priority: 0,
  maxAttempts: 2,
  isPublic: true,
  isResumable: true,
};

type Scenario = {
  readonly seed: number;
  readonly entryCount: number;
  readonly duration: Milliseconds;
  /** Whether versions start and end; else there is one. */
  readonly changesVersions: boolean;
  /** Whether entries are killed and cut off. */
  readonly disturbsEntries: boolean;
};

/**
 * Plays streams that break off and are resumed at other entries in virtual time,
 * with the decisions of real entries, while versions start and end, entries are
 * killed and cut off, and messages get lost.
 *
 * @internal
 */
export class SimulatedOrigins {
  readonly #scenario: Scenario;
  readonly #policy: OriginPolicy;
  readonly #random: () => number;
  readonly #entries: SimulatedEntry[] = [];
  readonly #log: VersionLog;
  readonly #revisions = new RevisionCounter();
  /** Ready upstreams by version. */
  readonly #upstreams = new Map<string, number>();
  readonly #time: VirtualTime;
  readonly report: OriginReport = {
    begun: 0,
    resumed: 0,
    wentOn: 0,
    mixed: 0,
    messages: 0,
    lateMessages: 0,
    searchTimes: [],
  };
  #streamCount = 0;
  #versionCount = 0;

  constructor(scenario: Scenario, policy: OriginPolicy) {
    this.#scenario = scenario;
    this.#policy = policy;
    this.#random = createSeededRandom(scenario.seed);
    this.#time = new VirtualTime(this.#random);
    this.#log = new VersionLog(this.#revisions);
    for (let index = 0; index < scenario.entryCount; index += 1) {
      this.#entries.push(this.#createEntry(index));
    }
  }

  run(): OriginReport {
    const { duration } = this.#scenario;
    this.#startVersion();
    this.#sweep();
    for (const index of this.#entries.keys()) {
      this.#sync(index);
    }
    this.#time.repeat(STREAM_PAUSE, () => this.#beginStream());
    if (this.#scenario.changesVersions) {
      this.#time.repeat(VERSION_INTERVAL, () => this.#changeVersions());
    }
    if (this.#scenario.disturbsEntries) {
      this.#time.repeat(ENTRY_FAULT_INTERVAL, () => this.#disturbEntry());
    }
    this.#time.runUntil(duration);
    return this.report;
  }

  #createEntry(index: number): SimulatedEntry {
    const possible = new PossibleOrigins();
    possible.applyRoutes([ROUTE], this.#time.now);
    return {
      known: {
        name: `entry-${index}`,
        address: `entry-${index}:1`,
        zone: `zone-${index % ZONE_COUNT}`,
        region: "r",
      },
      origins: new StreamOrigins(),
      possible,
      unshared: new Set(),
      versions: new Map(),
      syncedRevision: 0,
      syncedAt: -Infinity,
      cutUntil: 0,
      isRunning: true,
    };
  }

  // Versions and control replica

  #startVersion(): void {
    this.#versionCount += 1;
    this.#upstreams.set(`v${this.#versionCount}`, UPSTREAMS_PER_VERSION);
    this.#observeVersions();
  }

  #changeVersions(): void {
    const versions = [...this.#upstreams.keys()];
    if (versions.length < 2) {
      this.#startVersion();
      return;
    }
    const ended = versions[Math.floor(this.#random() * versions.length)]!;
    this.#observeVersions();
    this.#upstreams.delete(ended);
  }

  #observeVersions(): void {
    for (const version of this.#upstreams.keys()) {
      this.#log.observe({ service: SERVICE, version } as never, this.#time.now);
    }
  }

  #sweep(): void {
    this.#observeVersions();
    this.#log.expire(this.#time.now);
    this.#time.schedule(SWEEP_INTERVAL, () => this.#sweep());
  }

  #sync(index: number): void {
    const entry = this.#entries[index]!;
    const now = this.#time.now;
    if (entry.isRunning && entry.cutUntil <= now) {
      const versions = this.#log.since(entry.syncedRevision);
      entry.possible.applyReply(REPLICA, versions, now);
      entry.syncedRevision = this.#revisions.value;
      entry.syncedAt = now;
      for (const version of this.#upstreams.keys()) {
        entry.versions.set(version, entry.versions.get(version) ?? now);
      }
      this.#shareNewlyAmbiguous(entry);
    }
    const delay = SYNC_INTERVAL * (0.5 + this.#random() / 2);
    this.#time.schedule(delay, () => this.#sync(index));
  }

  // Entries

  #disturbEntry(): void {
    const index = Math.floor(this.#random() * this.#entries.length);
    if (this.#random() < 0.5) {
      this.#entries[index]!.cutUntil = this.#time.now + CUT_DURATION;
      return;
    }
    this.#entries[index]!.isRunning = false;
    this.#time.schedule(ENTRY_DOWNTIME, () => {
      this.#entries[index] = this.#createEntry(index);
    });
  }

  #pickEntry(): SimulatedEntry {
    const running = this.#entries.filter(({ isRunning }) => isRunning);
    return running[Math.floor(this.#random() * running.length)]!;
  }

  #chooseVersion(entry: SimulatedEntry): string | undefined {
    const first = Math.min(...entry.versions.values());
    const known = [...entry.versions].filter(([version]) =>
      this.#upstreams.has(version)
    );
    const settled = known.filter(([, seenAt]) =>
      seenAt === first || this.#time.now - seenAt >= NEW_VERSION_HOLD
    );
    const allowed = settled.length > 0 ? settled : known;
    return allowed[Math.floor(this.#random() * allowed.length)]?.[0];
  }

  // Streams

  #beginStream(): void {
    const entry = this.#pickEntry();
    const version = this.#policy.isComputed
      ? this.#compute(`s${this.#streamCount}`, entry)
      : this.#chooseVersion(entry);
    if (version === undefined) {
      return;
    }
    const stream = `s${this.#streamCount}`;
    this.#streamCount += 1;
    this.report.begun += 1;
    this.#record(entry, stream, { service: SERVICE, version });
    const lasts = 500 + this.#random() * 7000;
    this.#time.schedule(lasts, () => this.#endAttempt(entry, stream, version));
  }

  #endAttempt(entry: SimulatedEntry, stream: string, version: string): void {
    const isLost = !entry.isRunning ||
      this.#entries.every((each) => each !== entry);
    const isBroken = isLost || !this.#upstreams.has(version) ||
      this.#random() < BREAK_SHARE;
    if (isBroken) {
      const delay = 30 + this.#random() ** 3 * 4000;
      this.#time.schedule(delay, () => this.#resume(stream, version));
    }
  }

  #resume(stream: string, version: string): void {
    const entry = this.#pickEntry();
    const isServed = (this.#upstreams.get(version) ?? 0) >= 2;
    this.report.resumed += isServed ? 1 : 0;
    this.#find(entry, stream, (result) => {
      const chosen = result.kind === "found"
        ? result.origin.version
        : this.#policy.isComputed
        ? this.#compute(stream, entry)
        : undefined;
      if (chosen === undefined || !this.#upstreams.has(chosen)) {
        return;
      }
      this.report.wentOn += isServed ? 1 : 0;
      this.report.mixed += chosen === version ? 0 : 1;
      this.#record(entry, stream, { service: SERVICE, version: chosen });
      const lasts = 500 + this.#random() * 3000;
      this.#time.schedule(
        lasts,
        () => this.#endAttempt(entry, stream, version),
      );
    });
  }

  #compute(stream: string, { versions }: SimulatedEntry): string | undefined {
    const serving = [...versions.keys()].filter((version) =>
      this.#upstreams.has(version)
    ).sort((left, right) =>
      hashToUnit.of(stream, left) - hashToUnit.of(stream, right)
    );
    return serving[0];
  }

  // What entries do with origins

  #only(entry: SimulatedEntry): StreamOrigin | undefined {
    return entry.possible.only(ROUTE, this.#time.now);
  }

  #isCurrent(entry: SimulatedEntry): boolean {
    return this.#time.now - entry.syncedAt < CURRENT_TIMEOUT;
  }

  #record(entry: SimulatedEntry, stream: string, origin: StreamOrigin): void {
    entry.origins.record(stream, this.#knownAt(entry, origin));
    if (this.#only(entry) === undefined) {
      this.#share(entry, stream);
    } else {
      entry.unshared.add(stream);
    }
  }

  #knownAt({ known }: SimulatedEntry, origin: StreamOrigin) {
    const begunAt = this.#time.now;
    return { origin, entry: known.name, begunAt, expiresAt: begunAt + 20_000 };
  }

  #shareNewlyAmbiguous(entry: SimulatedEntry): void {
    if (this.#only(entry) === undefined) {
      for (const stream of entry.unshared) {
        this.#share(entry, stream);
      }
      entry.unshared.clear();
    }
  }

  #share(entry: SimulatedEntry, stream: string): void {
    const known = entry.origins.get(stream, this.#time.now);
    if (known === undefined) {
      return;
    }
    const open = this.#entries.map((each) => each.known);
    const holders = originHolders.rank(stream, open)
      .slice(0, this.#policy.holders);
    for (const { name } of holders) {
      if (name !== entry.known.name) {
        this.#send(
          entry,
          name,
          (receiver) => receiver.origins.record(stream, known),
        );
      }
    }
  }

  #find(
    entry: SimulatedEntry,
    stream: string,
    done: (result: OriginSearchResult) => void,
  ): void {
    const own = entry.origins.get(stream, this.#time.now);
    const only = this.#isCurrent(entry) ? this.#only(entry) : undefined;
    const origin = own?.origin ?? only;
    if (origin !== undefined) {
      done({ kind: "found", origin, by: entry.known.name, age: 0 });
    } else if (this.#policy.asks === "nobody") {
      done({ kind: "unknown", unanswered: 0 });
    } else {
      this.#search(entry, stream, done);
    }
  }

  #search(
    entry: SimulatedEntry,
    stream: string,
    done: (result: OriginSearchResult) => void,
  ): void {
    const startedAt = this.#time.now;
    const others = this.#entries.filter((each) => each !== entry)
      .map((each) => each.known);
    const asked = this.#policy.asks === "holders"
      ? originHolders.rank(stream, others).slice(0, originHolders.count)
      : others;
    const search = new OriginSearch(stream, { entries: asked, now: startedAt });
    let isDone = false;
    const advance = () => {
      const result = search.result(this.#time.now);
      if (isDone) {
        return;
      }
      if (result !== undefined) {
        isDone = true;
        this.report.searchTimes.push(this.#time.now - startedAt);
        done(result);
        return;
      }
      for (const { name } of search.listDue(this.#time.now)) {
        this.#ask(entry, { name, stream, search, advance });
      }
      this.#time.schedule(SEARCH_INTERVAL, advance);
    };
    advance();
  }

  #ask(
    entry: SimulatedEntry,
    { name, stream, search, advance }: {
      name: string;
      stream: string;
      search: OriginSearch;
      advance: () => void;
    },
  ): void {
    this.#send(entry, name, (asked) => {
      const known = asked.origins.get(stream, this.#time.now);
      const only = this.#isCurrent(asked) ? this.#only(asked) : undefined;
      const origin = known?.origin ?? only;
      this.#send(asked, entry.known.name, () => {
        search.recordAnswer(
          name,
          origin && { origin, age: 0, isOnly: known === undefined },
        );
        advance();
      });
    });
  }

  #send(
    from: SimulatedEntry,
    name: string,
    deliver: (to: SimulatedEntry) => void,
  ): void {
    this.report.messages += 1;
    this.report.lateMessages += this.#time.now > SETTLED_AFTER ? 1 : 0;
    const isCut = (entry: SimulatedEntry) => entry.cutUntil > this.#time.now;
    if (isCut(from) || this.#random() < MESSAGE_LOSS) {
      return;
    }
    this.#time.schedule(0.5 + this.#random() * 2, () => {
      const to = this.#entries.find(({ known }) => known.name === name);
      if (to !== undefined && to.isRunning && !isCut(to)) {
        deliver(to);
      }
    });
  }
}

import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import type { ChosenUpstream } from "./chosen_upstream.ts";
import type { UpstreamFilter } from "@heroncleat/rollouts";
import { drainAgeOf } from "./drain_age_of.ts";
import type { DrainPolicy } from "./drain_policy.ts";
import type { DrainReport } from "./drain_report.ts";
import { exchangeInterval } from "./exchange_interval.ts";
import { Hub } from "./hub.ts";
import { instanceId } from "./instance_id.ts";
import type { KnownUpstream } from "./known_upstream.ts";
import type { PromptPart } from "./prompt_part.ts";
import type { UpdateSource } from "./update_source.ts";
import { UpstreamBalancer } from "./upstream_balancer.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import { VirtualTime } from "./virtual_time.ts";

const SERVICE = "desk";
const HUB_COUNT = 3;
/** Replicas that must have stored a departure before it is acknowledged. */
const REQUIRED_COPIES = 2;
const SLOTS = 16;
/** Share of all slots that streams take on average. */
const UTILIZATION = 0.4;
const DRAIN_TIMEOUT: Milliseconds = 2000;
/** Time that an upstream serves beyond the drain timeout, at most. */
const MAX_EXTRA_TIME: Milliseconds = 3000;
/** Time after which an upstream ends whose drain isn't acknowledged. */
const UNACKNOWLEDGED_TIME: Milliseconds = 4000;
/** Time in which entries must know that an upstream drains. */
const NOTICE_TIME: Milliseconds = 1000;
const HEARTBEAT_INTERVAL: Milliseconds = 1000;
const REPORT_TIMEOUT: Milliseconds = 1000;
const LATE_SHARE = 0.03;
const MAX_LATENESS: Milliseconds = 3000;
const MAX_LATENCY: Milliseconds = 4;
const MESSAGE_LOSS = 0.01;
/** Latency that a message of a replica or entry may have in addition. */
const MAX_SLOWNESS: Milliseconds = 700;
const FEED_INTERVAL: Milliseconds = 200;
const SLOW_SHARE = 0.02;
const MAX_CONNECT_TIME: Milliseconds = 300;
const MIN_STREAM_TIME: Milliseconds = 500;
const MAX_STREAM_TIME: Milliseconds = 3500;
const PROMPT_TOKENS = 100;
const BROKEN_SHARE = 0.15;
const MAX_RUNS = 3;
const MAX_TRIES = 5;
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 2;
const RETURN_DELAY: Milliseconds = 30;
const HOLD_TIME: Milliseconds = 900;
const HOLD_POLL_INTERVAL: Milliseconds = 50;
/** Time before the first stream, and after the last one has begun. */
const START_TIME: Milliseconds = 1500;
const END_TIME: Milliseconds = 5000;
const DISTURBANCE_INTERVAL: Milliseconds = 2500;

/** A disturbance, with random numbers that are the same for all policies. */
type Disturbance = {
  readonly at: Milliseconds;
  readonly kind: number;
  readonly draws: readonly number[];
};

type SimulationOptions = {
  readonly seed: number;
  readonly entries: number;
  readonly upstreamsPerVersion: number;
  readonly duration: Milliseconds;
  readonly policy: DrainPolicy;
};

type SimulatedUpstream = {
  readonly record: UpstreamRecord;
  readonly runs: Set<SimulatedRun>;
  isUp: boolean;
  isDraining: boolean;
  sequence: number;
  hub: number;
  reclaimedAt: Milliseconds;
  reportedAt: Milliseconds;
  acknowledgedAt: Milliseconds;
};

type SimulatedHub = {
  hub: Hub;
  isUp: boolean;
  /** Until when it reaches no other process; upstreams reach it. */
  cutUntil: Milliseconds;
  readonly stored: Map<string, UpstreamRecord>;
  /** Position in the feeds of the others. */
  readonly positions: Map<number, { feed: string; revision: number }>;
};

type SimulatedEntry = {
  readonly name: string;
  readonly directory: UpstreamDirectory;
  readonly balancer: UpstreamBalancer;
  readonly positions: Map<number, { feed: string; revision: number }>;
  /** Its loads as of its last exchange with the primary. */
  loads: Readonly<Record<string, UpstreamLoad>>;
  cutUntil: Milliseconds;
  requests: number;
  retries: number;
};

type SimulatedStream = {
  /** The prompt, which no other stream shares. */
  readonly parts: readonly PromptPart[];
  /** Time that its events still take. */
  left: Milliseconds;
  version: string | undefined;
  tries: number;
};

/** A request that an entry handles. */
type SimulatedTry = {
  readonly entry: SimulatedEntry;
  readonly stream: SimulatedStream;
  readonly excluded: Set<string>;
  runs: number;
  /**
   * Whether some upstream could be sent the stream when this try, or its last
   * run, broke off.
   */
  isContinuable: boolean;
};

type SimulatedRun = { readonly end: (isBroken: boolean) => void };

/**
 * Simulates entries, control replicas and upstreams of two versions that drain
 * in waves, in virtual time. The directories, exchanges and choices are those
 * of the product.
 *
 * @internal
 */
export class SimulatedDrains {
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #time: VirtualTime;
  readonly #plan: readonly Disturbance[];
  readonly #entries: SimulatedEntry[];
  readonly #hubs: SimulatedHub[];
  readonly #upstreams: SimulatedUpstream[] = [];
  #versions: string[] = [];
  #versionCount = 0;
  #startCount = 0;
  #feedCount = 0;
  readonly #report: DrainReport = {
    sent: 0,
    begun: 0,
    whole: 0,
    resumed: 0,
    continuable: 0,
    wentOn: 0,
    beyondSlots: 0,
    overDrain: 0,
    plainAtDraining: 0,
    plainLate: 0,
    twoVersions: 0,
    acknowledged: 0,
    slowestAcknowledgement: 0,
  };

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed * 7919 + 3);
    this.#time = new VirtualTime(this.#random);
    this.#plan = planDisturbances(options);
    this.#hubs = Array.from({ length: HUB_COUNT }, () => ({
      hub: this.#createHub(),
      isUp: true,
      cutUntil: 0,
      stored: new Map(),
      positions: new Map(),
    }));
    this.#entries = Array.from(
      { length: options.entries },
      (_, index) => this.#createEntry(index),
    );
  }

  run(): DrainReport {
    const { duration, entries, upstreamsPerVersion } = this.#options;
    this.#startVersion();
    this.#startVersion();
    for (const index of this.#hubs.keys()) {
      this.#time.repeat(FEED_INTERVAL, () => this.#readFeeds(index));
    }
    for (const entry of this.#entries) {
      const full = exchangeInterval.full(entries);
      const short = exchangeInterval.short(entries);
      this.#time.repeat(full, () => this.#exchange(entry, 0));
      this.#time.repeat(short, () => this.#exchange(entry, 1));
      this.#time.repeat(short, () => this.#exchange(entry, 2));
    }
    for (const disturbance of this.#plan) {
      this.#time.schedule(disturbance.at, () => this.#disturb(disturbance));
    }
    const meanTime = (MIN_STREAM_TIME + MAX_STREAM_TIME) / 2;
    const gap = meanTime / (2 * upstreamsPerVersion * SLOTS * UTILIZATION);
    const next = () => {
      if (this.#time.now < duration) {
        this.#beginStream();
        this.#time.schedule(gap * 2 * this.#random(), next);
      }
    };
    this.#time.schedule(START_TIME, next);
    this.#time.runUntil(duration + END_TIME);
    return this.#report;
  }

  #createHub(): Hub {
    this.#feedCount += 1;
    return new Hub(`feed-${this.#feedCount}`);
  }

  #createEntry(index: number): SimulatedEntry {
    const { policy } = this.#options;
    return {
      name: `entry-${index}`,
      directory: new UpstreamDirectory(),
      balancer: new UpstreamBalancer({
        drainTimeout: () =>
          policy.continues === "always" ? Infinity : DRAIN_TIMEOUT,
      }),
      positions: new Map(),
      loads: {},
      cutUntil: 0,
      requests: 0,
      retries: 0,
    };
  }

  // Upstreams

  #startVersion(): void {
    this.#versionCount += 1;
    const version = `v${this.#versionCount}`;
    this.#versions.push(version);
    for (let at = 0; at < this.#options.upstreamsPerVersion; at += 1) {
      this.#start(version);
    }
  }

  #start(version: string): void {
    this.#startCount += 1;
    const name = `u${this.#startCount}`;
    const born = this.#startCount * 1000;
    const upstream: SimulatedUpstream = {
      record: {
        id: instanceId(name, born),
        name,
        born,
        version,
        service: SERVICE,
        address: `${name}:80`,
        zone: "a",
        slots: SLOTS,
        sequence: 0,
        state: "ready",
        isSpot: false,
        leavesIn: undefined,
      },
      runs: new Set(),
      isUp: true,
      isDraining: false,
      sequence: 0,
      hub: this.#startCount % HUB_COUNT,
      reclaimedAt: Infinity,
      reportedAt: Infinity,
      acknowledgedAt: Infinity,
    };
    this.#upstreams.push(upstream);
    const beat = () => {
      if (upstream.isUp) {
        this.#heartbeat(upstream);
        this.#time.schedule(HEARTBEAT_INTERVAL, beat);
      }
    };
    beat();
  }

  #heartbeat(upstream: SimulatedUpstream): void {
    const { now } = this.#time;
    upstream.sequence += 1;
    const { reclaimedAt, sequence, isDraining } = upstream;
    const update: UpstreamRecord = {
      ...upstream.record,
      sequence,
      state: isDraining ? "draining" : "ready",
      leavesIn: reclaimedAt < Infinity ? reclaimedAt - now : undefined,
    };
    const isLate = this.#random() < LATE_SHARE;
    const delay = this.#latency() +
      (isLate ? this.#random() * MAX_LATENESS : 0);
    let isAcknowledged = false;
    const target = upstream.hub;
    this.#time.schedule(delay, () =>
      this.#receiveReport(upstream, update, {
        target,
        acknowledge: () => isAcknowledged = true,
      }));
    this.#time.schedule(REPORT_TIMEOUT, () => {
      if (!isAcknowledged && upstream.isUp) {
        upstream.hub = (target + 1) % HUB_COUNT;
        this.#heartbeat(upstream);
      }
    });
  }

  #receiveReport(
    upstream: SimulatedUpstream,
    update: UpstreamRecord,
    { target, acknowledge }: { target: number; acknowledge: () => void },
  ): void {
    const { hub, isUp } = this.#hubs[target]!;
    if (!isUp || this.#random() < MESSAGE_LOSS) {
      return;
    }
    if (update.state === "ready") {
      hub.mergeUpstream(update, this.#time.now);
      acknowledge();
      return;
    }
    this.#holdLast(upstream, () => {
      if (this.#hubs[target]!.hub === hub) {
        hub.mergeUpstream(update, this.#time.now);
        this.#replicate(target, update, () => {
          acknowledge();
          this.#recordAcknowledgement(upstream);
        });
      }
    });
  }

  #recordAcknowledgement(upstream: SimulatedUpstream): void {
    const { now } = this.#time;
    if (upstream.acknowledgedAt < Infinity) {
      return;
    }
    upstream.acknowledgedAt = now;
    this.#report.acknowledged += 1;
    this.#report.slowestAcknowledgement = Math.max(
      this.#report.slowestAcknowledgement,
      now - upstream.reportedAt,
    );
    const left = DRAIN_TIMEOUT + this.#random() * MAX_EXTRA_TIME;
    this.#time.schedule(left, () => this.#end(upstream, { isSilent: false }));
  }

  /** Holds the last two drains of a version up, if the policy says so. */
  #holdLast(upstream: SimulatedUpstream, proceed: () => void): void {
    const { version } = upstream.record;
    const others = this.#upstreams.filter((other) =>
      other !== upstream && other.isUp && other.record.version === version &&
      !other.isDraining
    );
    const isLast = others.length < 2 && upstream.acknowledgedAt === Infinity;
    if (!this.#options.policy.holdsLast || !isLast) {
      proceed();
      return;
    }
    const until = upstream.reportedAt + HOLD_TIME;
    const poll = () => {
      if (this.#time.now >= until || upstream.runs.size === 0) {
        proceed();
      } else {
        this.#time.schedule(HOLD_POLL_INTERVAL, poll);
      }
    };
    poll();
  }

  /** Sends a departure to the members, and waits until enough have stored it. */
  #replicate(
    from: number,
    record: UpstreamRecord,
    onDurable: () => void,
  ): void {
    const { hub } = this.#hubs[from]!;
    let copies = 0;
    const store = () => {
      copies += 1;
      if (copies === REQUIRED_COPIES && this.#hubs[from]!.isUp) {
        onDurable();
      }
    };
    for (const [index, other] of this.#hubs.entries()) {
      if (index === from) {
        this.#time.schedule(this.#latency(), () => {
          other.stored.set(record.id, record);
          store();
        });
        continue;
      }
      const { now } = this.#time;
      const since = hub.directory.get(record.id)?.drainingSince;
      const drainAge = since === undefined ? undefined : Math.ceil(now - since);
      this.#send(() => {
        if (this.#isReached(other) && this.#isReached(this.#hubs[from]!)) {
          const source = { reporter: `hub-${from}`, age: 0, drainAge };
          other.hub.mergeUpstream(record, this.#time.now, source);
          other.stored.set(record.id, record);
          this.#send(store);
        }
      });
    }
  }

  #drain(upstream: SimulatedUpstream): void {
    if (!upstream.isUp || upstream.isDraining) {
      return;
    }
    upstream.isDraining = true;
    upstream.reportedAt = this.#time.now;
    this.#heartbeat(upstream);
    this.#time.schedule(UNACKNOWLEDGED_TIME, () => {
      if (upstream.acknowledgedAt === Infinity) {
        this.#end(upstream, { isSilent: true });
      }
    });
  }

  #end(
    upstream: SimulatedUpstream,
    { isSilent }: { isSilent: boolean },
  ): void {
    if (!upstream.isUp) {
      return;
    }
    upstream.isUp = false;
    this.#upstreams.splice(this.#upstreams.indexOf(upstream), 1);
    for (const run of [...upstream.runs]) {
      run.end(true);
    }
    const { name, born } = upstream.record;
    const { hub, isUp } = this.#hubs[upstream.hub]!;
    if (!isSilent && isUp) {
      hub.removeUpstream(name, this.#time.now, born);
    }
  }

  // Disturbances

  #disturb({ kind, draws }: Disturbance): void {
    const draw = (at: number) => draws[at % draws.length]!;
    if (kind < 0.45) {
      this.#replaceVersion(draw);
    } else if (kind < 0.6) {
      this.#drainOne(draw);
    } else if (kind < 0.75) {
      this.#reclaim(draw);
    } else if (kind < 0.85) {
      this.#crash(draw);
    } else if (kind < 0.93) {
      this.#restartHub(draw);
    } else {
      const cut = kind < 0.97 ? this.#hubs : this.#entries;
      const at = Math.floor(draw(0) * cut.length);
      cut[at]!.cutUntil = this.#time.now + 500 + draw(1) * 2500;
    }
  }

  /** A version drains in waves, and some crash meanwhile. */
  #replaceVersion(draw: (at: number) => number): void {
    const version = this.#versions.shift()!;
    const waves = 1 + Math.floor(draw(0) * 3);
    const pause = draw(1) * 1500;
    const crashShare = draw(2) < 0.5 ? draw(3) * 0.7 : 0;
    this.#startVersion();
    const leaving = this.#upstreams.filter(({ record }) =>
      record.version === version
    );
    for (const [at, upstream] of leaving.entries()) {
      const drainsIn = (at % waves) * pause;
      this.#time.schedule(drainsIn, () => this.#drain(upstream));
      if (draw(at + 4) < crashShare) {
        const crashesIn = drainsIn + 100 + draw(at + 5) * 1500;
        this.#time.schedule(
          crashesIn,
          () => this.#end(upstream, { isSilent: true }),
        );
      }
    }
  }

  #drainOne(draw: (at: number) => number): void {
    const upstream = this.#pickReady(draw(0));
    if (upstream !== undefined) {
      this.#start(upstream.record.version!);
      this.#drain(upstream);
    }
  }

  #reclaim(draw: (at: number) => number): void {
    const leavesIn = 800 + draw(0) * 4000;
    for (const [at, upstream] of [...this.#upstreams].entries()) {
      if (upstream.isDraining || draw(at + 1) >= 0.3) {
        continue;
      }
      upstream.reclaimedAt = this.#time.now + leavesIn;
      this.#drain(upstream);
      this.#time.schedule(
        leavesIn,
        () => this.#end(upstream, { isSilent: true }),
      );
      this.#time.schedule(
        3000,
        () => this.#startIfCurrent(upstream.record.version!),
      );
    }
  }

  #crash(draw: (at: number) => number): void {
    for (const [at, upstream] of [...this.#upstreams].entries()) {
      if (draw(at) < 0.25) {
        this.#end(upstream, { isSilent: true });
        this.#time.schedule(
          1500,
          () => this.#startIfCurrent(upstream.record.version!),
        );
      }
    }
  }

  #startIfCurrent(version: string): void {
    if (this.#versions.includes(version)) {
      this.#start(version);
    }
  }

  #pickReady(draw: number): SimulatedUpstream | undefined {
    const ready = this.#upstreams.filter(({ isDraining }) => !isDraining);
    return ready[Math.floor(draw * ready.length)];
  }

  /** A replica restarts with the departures that it stored. */
  #restartHub(draw: (at: number) => number): void {
    const replica = this.#hubs[Math.floor(draw(0) * HUB_COUNT)]!;
    replica.isUp = false;
    this.#time.schedule(200 + draw(1) * 4000, () => {
      replica.hub = this.#createHub();
      replica.positions.clear();
      replica.isUp = true;
      for (const record of replica.stored.values()) {
        const source = { reporter: "disk", age: 0 };
        replica.hub.mergeUpstream(record, this.#time.now, source);
      }
    });
  }

  // Exchanges

  #readFeeds(index: number): void {
    const reader = this.#hubs[index]!;
    for (const [from, peer] of this.#hubs.entries()) {
      if (from === index || !this.#isReached(reader)) {
        continue;
      }
      const { hub } = reader;
      const requestedAt = this.#time.now;
      const position = reader.positions.get(from) ??
        { feed: "", revision: 0 };
      this.#send(() => {
        if (!this.#isReached(peer)) {
          return;
        }
        const reply = peer.hub.createFeedReply(position, this.#time.now);
        this.#send(() => {
          const { now } = this.#time;
          if (reader.hub === hub && this.#isReached(reader)) {
            const transit = now - requestedAt;
            hub.mergeFeed(reply, now, { reporter: `hub-${from}`, transit });
            reader.positions.set(from, reply);
          }
        });
      });
    }
  }

  #exchange(entry: SimulatedEntry, index: number): void {
    const replica = this.#hubs[index]!;
    const requestedAt = this.#time.now;
    if (entry.cutUntil > requestedAt) {
      return;
    }
    const position = entry.positions.get(index) ?? { feed: "", revision: 0 };
    this.#send(() => {
      if (!this.#isReached(replica)) {
        return;
      }
      const reply = replica.hub.createFeedReply(position, this.#time.now);
      this.#send(() => {
        const { now } = this.#time;
        if (entry.cutUntil > now) {
          return;
        }
        const transit = now - requestedAt;
        const reporter = `hub-${index}`;
        const ages = reply.ages ?? {};
        for (const record of reply.upstreams) {
          const source: UpdateSource = {
            reporter,
            age: ages[record.id] ?? 0,
            drainAge: drainAgeOf(record, { ...reply, transit }),
          };
          entry.directory.merge(record, now, source);
        }
        for (const [id, sequence] of Object.entries(reply.beats)) {
          const age = ages[id] ?? 0;
          entry.directory.refresh(id, now, { sequence, reporter, age });
        }
        entry.positions.set(index, reply);
        if (index === 0) {
          this.#shareLoads(entry);
        }
      });
    });
  }

  #shareLoads(entry: SimulatedEntry): void {
    const { now } = this.#time;
    entry.loads = entry.balancer.loads(now);
    const sums: Record<string, UpstreamLoad> = {};
    for (const other of this.#entries) {
      for (const [id, load] of Object.entries(other.loads)) {
        const { requests = 0, backlog = 0 } = sums[id] ?? {};
        if (other !== entry) {
          sums[id] = {
            requests: requests + load.requests,
            backlog: backlog + load.backlog,
          };
        }
      }
    }
    entry.balancer.replaceReportedLoads(sums, now);
  }

  // Streams

  #beginStream(): void {
    this.#report.sent += 1;
    const span = MAX_STREAM_TIME - MIN_STREAM_TIME;
    this.#receive({
      parts: [{ id: `p${this.#report.sent}`, tokens: PROMPT_TOKENS }],
      left: MIN_STREAM_TIME + this.#random() * span,
      version: undefined,
      tries: 0,
    });
  }

  #receive(stream: SimulatedStream): void {
    const at = Math.floor(this.#random() * this.#entries.length);
    const entry = this.#entries[at]!;
    entry.requests += 1;
    stream.tries += 1;
    const isContinuable = this.#countResume(stream);
    this.#choose({
      entry,
      stream,
      excluded: new Set(),
      runs: 0,
      isContinuable,
    });
  }

  /** Counts that a stream is resumed; returns whether it could go on. */
  #countResume({ version }: SimulatedStream): boolean {
    const isContinuable = version !== undefined && this.#mayContinue(version);
    this.#report.resumed += version === undefined ? 0 : 1;
    this.#report.continuable += isContinuable ? 1 : 0;
    return isContinuable;
  }

  #choose(attempt: SimulatedTry): void {
    const { entry, stream, excluded } = attempt;
    const { now } = this.#time;
    const isResumed = stream.version !== undefined;
    const { continues } = this.#options.policy;
    const avoided = isResumed ? undefined : this.#listAvoided(entry);
    const choose = (isAdmitted: UpstreamFilter) =>
      entry.balancer.choose(entry.directory.list(), {
        now,
        requiresHeartbeats: true,
        request: {
          service: SERVICE,
          zone: "a",
          parts: stream.parts,
          promptTokens: PROMPT_TOKENS,
          excluded,
          isResumed: isResumed && continues !== "never",
          isAdmitted,
        },
      });
    const chosen = isResumed
      ? choose(({ record }) => record.version === stream.version)
      : choose(({ record }) => avoided?.has(record.version!) !== true) ??
        choose(() => true);
    if (chosen === undefined) {
      this.#giveUp(stream);
      return;
    }
    this.#offer(attempt, chosen);
  }

  /** Versions of which an upstream drains, unless all would be. */
  #listAvoided({ directory }: SimulatedEntry): Set<string> | undefined {
    if (!this.#options.policy.avoidsVersion) {
      return undefined;
    }
    const avoided = new Set<string>();
    for (const { record } of directory.list()) {
      if (record.state === "draining") {
        avoided.add(record.version!);
      }
    }
    return avoided;
  }

  /** Whether some upstream of a version could be sent something now. */
  #mayContinue(version: string): boolean {
    const { now } = this.#time;
    return this.#upstreams.some(({ record, acknowledgedAt }) =>
      record.version === version &&
      now + MAX_LATENCY < acknowledgedAt + DRAIN_TIMEOUT
    );
  }

  #offer(attempt: SimulatedTry, chosen: ChosenUpstream): void {
    const { entry, stream } = attempt;
    const { id } = chosen.upstream.record;
    const isResumed = stream.version !== undefined;
    entry.balancer.begin(chosen, {
      parts: stream.parts,
      now: this.#time.now,
    });
    const isSlow = this.#random() < SLOW_SHARE;
    const connectTime = isSlow ? this.#random() * MAX_CONNECT_TIME : 0;
    this.#time.schedule(connectTime, () => {
      const known = entry.directory.get(id) ?? chosen.upstream;
      if (!this.#maySend(entry, chosen.upstream, known)) {
        entry.balancer.end(chosen);
        this.#choose(attempt);
        return;
      }
      if (!isResumed && chosen.upstream.record.state !== "ready") {
        this.#report.plainAtDraining += 1;
      }
      this.#time.schedule(this.#latency(), () => {
        const upstream = this.#upstreams.find(({ record }) => record.id === id);
        if (upstream === undefined) {
          entry.balancer.end(chosen);
          entry.balancer.pause(id, this.#time.now);
          this.#retry(attempt, { failed: id, hasRun: false });
          return;
        }
        this.#report.wentOn += attempt.isContinuable ? 1 : 0;
        this.#run(attempt, upstream, chosen);
      });
    });
  }

  /** As the product decides when a connection is there. */
  #maySend(
    { balancer }: SimulatedEntry,
    chosen: KnownUpstream,
    known: KnownUpstream,
  ): boolean {
    return chosen.record.state === "ready" ||
      this.#time.now < balancer.drainEndsAt(known);
  }

  #run(
    attempt: SimulatedTry,
    upstream: SimulatedUpstream,
    chosen: ChosenUpstream,
  ): void {
    const { entry, stream } = attempt;
    const { now } = this.#time;
    const { record, acknowledgedAt, runs } = upstream;
    const isResumed = stream.version !== undefined;
    this.#report.overDrain += now > acknowledgedAt + DRAIN_TIMEOUT ? 1 : 0;
    this.#report.plainLate += !isResumed && now > acknowledgedAt + NOTICE_TIME
      ? 1
      : 0;
    this.#report.beyondSlots += runs.size >= SLOTS ? 1 : 0;
    this.#report.begun += isResumed ? 0 : 1;
    this.#report.twoVersions += isResumed && record.version !== stream.version
      ? 1
      : 0;
    stream.version ??= record.version;
    attempt.runs += 1;
    const run: SimulatedRun = {
      end: (isBroken) => {
        if (!runs.delete(run)) {
          return;
        }
        entry.balancer.end(chosen);
        stream.left -= this.#time.now - now;
        if (isBroken) {
          this.#retry(attempt, { failed: record.id, hasRun: true });
        } else {
          this.#report.whole += 1;
        }
      },
    };
    runs.add(run);
    const isBroken = this.#random() < BROKEN_SHARE;
    const lasts = isBroken ? stream.left * this.#random() : stream.left;
    this.#time.schedule(lasts, () => run.end(isBroken));
  }

  #retry(
    attempt: SimulatedTry,
    { failed, hasRun }: { failed: string; hasRun: boolean },
  ): void {
    const { entry, excluded, runs, stream } = attempt;
    excluded.add(failed);
    const { retries, requests } = entry;
    const isAllowed = retries + 1 <= RETRY_RATIO * requests + RETRY_SLACK;
    if (hasRun && (runs >= MAX_RUNS || !isAllowed)) {
      this.#giveUp(stream);
      return;
    }
    if (hasRun) {
      entry.retries += 1;
      attempt.isContinuable = this.#countResume(stream);
    }
    this.#choose(attempt);
  }

  /** The caller of a stream that has begun resumes it. */
  #giveUp(stream: SimulatedStream): void {
    if (stream.version !== undefined && stream.tries < MAX_TRIES) {
      this.#time.schedule(RETURN_DELAY, () => this.#receive(stream));
    }
  }

  #isReached({ isUp, cutUntil }: SimulatedHub): boolean {
    return isUp && cutUntil <= this.#time.now;
  }

  #send(deliver: () => void): void {
    if (this.#random() >= MESSAGE_LOSS) {
      const isSlow = this.#random() < SLOW_SHARE;
      const delay = isSlow ? this.#random() * MAX_SLOWNESS : 0;
      this.#time.schedule(this.#latency() + delay, deliver);
    }
  }

  #latency(): Milliseconds {
    return 0.5 + this.#random() * MAX_LATENCY;
  }
}

function planDisturbances(
  { seed, duration }: SimulationOptions,
): Disturbance[] {
  const random = createSeededRandom(seed * 104_729 + 11);
  const plan: Disturbance[] = [];
  let at = 3000;
  while (at < duration - 3000) {
    const draws = Array.from({ length: 97 }, () => random());
    plan.push({ at, kind: random(), draws });
    at += DISTURBANCE_INTERVAL * (0.5 + random());
  }
  return plan;
}

import { createSeededRandom, type Milliseconds } from "@heroncleat/base";
import { SuspectRegistry } from "./suspect_registry.ts";
import { SuspectStatus } from "./suspect_status.ts";
import { RevisionCounter } from "./revision_counter.ts";

const ZONES = 4;
const UPSTREAMS = 48;
const ENTRIES = 8;
const REPLICAS = 4;
/**
 * Intervals of an entry's exchanges with the primary, and with other replicas.
 */
const FULL_EXCHANGE_INTERVAL: Milliseconds = 150;
const SHORT_EXCHANGE_INTERVAL: Milliseconds = 400;
/** Maximum latency of a message, and maximum time until a crash is detected. */
const MAX_MESSAGE_DELAY: Milliseconds = 25;
const MAX_DETECTION_DELAY: Milliseconds = 60;
const UPSTREAM_DOWNTIME: Milliseconds = 4000;
const PROCESS_DOWNTIME: Milliseconds = 1000;
/**
 * Time after which all entries must reject a request that caused three crashes.
 */
const MAX_PROPAGATION_TIME: Milliseconds = 3000;
const REJECTION_CRASHES = 3;

/** A request that its callers repeat. */
type RepeatedRequest = {
  readonly name: string;
  /** Number of callers that send it concurrently. */
  readonly callers: number;
  readonly maxDuration: Milliseconds;
  /** Maximum pause of a caller between two sends. */
  readonly maxPause: Milliseconds;
  readonly crashesUpstreams: boolean;
};

export type CrashScenario = {
  readonly seed: number;
  readonly duration: Milliseconds;
  readonly requests: readonly RepeatedRequest[];
  /** Share of a zone's upstreams that crash in each wave; 0 for no waves. */
  readonly waveShare: number;
  /** Time over which the crashes of one wave are spread. */
  readonly waveSpread: Milliseconds;
  /** Whether entries and replicas are killed; replicas lose their state. */
  readonly killsProcesses: boolean;
};

export type CrashOutcome = {
  /** Number of harmless requests that were rejected. */
  readonly wronglyRejected: number;
  /**
   * Maximum over all requests of the sends later than `MAX_PROPAGATION_TIME`
   * after the third crash.
   */
  readonly lateSends: number;
  /** Maximum over all requests of the crashes that the request caused. */
  readonly crashes: number;
  readonly waves: number;
};

type Run = {
  readonly request: RepeatedRequest;
  readonly entry: Entry;
  readonly sentAt: Milliseconds;
  isFinished: boolean;
};

type Upstream = {
  readonly zone: number;
  id: string;
  isUp: boolean;
  runs: Set<Run>;
};

type Replica = { registry: SuspectRegistry; feed: number; isUp: boolean };

type Entry = {
  registry: SuspectRegistry;
  isRunning: boolean;
  /** Whether it accepts callers. */
  isUp: boolean;
  underWay: Map<string, number>;
  /** Revisions sent to and read from each replica, by its index. */
  readonly links: {
    feed: number;
    sentRevision: number;
    readRevision: number;
  }[];
};

/**
 * Simulates entries, control replicas and upstreams in virtual time: when each
 * process receives the report of a crash, and which requests are affected.
 */
export class SimulatedCrashes {
  readonly #scenario: CrashScenario;
  readonly #random: () => number;
  readonly #events: { at: Milliseconds; run: () => void }[] = [];
  #now: Milliseconds = 0;
  #instanceCount = 0;
  #feedCount = 0;
  readonly #upstreams: Upstream[] = [];
  readonly #replicas: Replica[] = [];
  readonly #entries: Entry[] = [];
  readonly #crashTimes = new Map<string, Milliseconds[]>();
  readonly #late = new Map<string, number>();
  #wronglyRejected = 0;
  #waves = 0;

  constructor(scenario: CrashScenario) {
    this.#scenario = scenario;
    this.#random = createSeededRandom(scenario.seed * 7919 + 1);
    for (let index = 0; index < UPSTREAMS; index += 1) {
      const upstream = {
        zone: index % ZONES,
        id: "",
        isUp: true,
        runs: new Set<Run>(),
      };
      this.#startUpstream(upstream);
      this.#upstreams.push(upstream);
    }
    for (let index = 0; index < REPLICAS; index += 1) {
      this.#replicas.push({
        registry: createRegistry(),
        feed: this.#nextFeedId,
        isUp: true,
      });
    }
    for (let index = 0; index < ENTRIES; index += 1) {
      this.#entries.push({
        registry: createRegistry(),
        isRunning: true,
        isUp: true,
        underWay: new Map(),
        links: this.#replicas.map(() => ({
          feed: 0,
          sentRevision: 0,
          readRevision: 0,
        })),
      });
    }
  }

  run(): CrashOutcome {
    const { requests, waveShare, killsProcesses, duration } = this.#scenario;
    for (const entry of this.#entries) {
      for (let index = 0; index < REPLICAS; index += 1) {
        this.#scheduleRepeatedly(
          index === 0 ? FULL_EXCHANGE_INTERVAL : SHORT_EXCHANGE_INTERVAL,
          () => this.#exchange(entry, index),
        );
      }
    }
    for (const request of requests) {
      for (let caller = 0; caller < request.callers; caller += 1) {
        this.#schedule(
          this.#randomUpTo(request.maxPause),
          () => this.#submit(request),
        );
      }
    }
    if (waveShare > 0) {
      this.#scheduleRepeatedly(2500, () => this.#reclaimZone());
    }
    if (killsProcesses) {
      this.#scheduleRepeatedly(3000, () => this.#killEntry());
      this.#scheduleRepeatedly(4000, () => this.#killReplica());
    }
    this.#runUntil(duration);
    return {
      wronglyRejected: this.#wronglyRejected,
      lateSends: Math.max(0, ...this.#late.values()),
      crashes: Math.max(
        0,
        ...[...this.#crashTimes.values()].map(({ length }) => length),
      ),
      waves: this.#waves,
    };
  }

  #runUntil(until: Milliseconds): void {
    while (this.#events.length > 0) {
      const event = this.#events.pop()!;
      if (event.at > until) {
        return;
      }
      this.#now = event.at;
      event.run();
    }
  }

  /** Events are sorted by time, the latest first. */
  #schedule(delay: Milliseconds, run: () => void): void {
    const at = this.#now + delay;
    let from = 0;
    let to = this.#events.length;
    while (from < to) {
      const middle = (from + to) >> 1;
      if (this.#events[middle]!.at > at) {
        from = middle + 1;
      } else {
        to = middle;
      }
    }
    this.#events.splice(from, 0, { at, run });
  }

  #scheduleRepeatedly(pause: Milliseconds, run: () => void): void {
    this.#schedule(pause * (0.5 + this.#random()), () => {
      run();
      this.#scheduleRepeatedly(pause, run);
    });
  }

  #randomUpTo(max: Milliseconds): Milliseconds {
    return this.#random() * max;
  }

  #pickRandom<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.#random() * items.length)];
  }

  get #nextFeedId(): number {
    this.#feedCount += 1;
    return this.#feedCount;
  }

  /** Sends a caller's request, and again after it has finished. */
  #submit(request: RepeatedRequest): void {
    const resubmit = () =>
      this.#schedule(
        1 + this.#randomUpTo(request.maxPause),
        () => this.#submit(request),
      );
    const entry = this.#pickRandom(this.#entries.filter(({ isUp }) => isUp));
    if (entry === undefined) {
      resubmit();
      return;
    }
    const standing = entry.registry.statusOf(request.name, this.#now);
    const upstream = this.#chooseUpstream(standing);
    const isHeld = standing === SuspectStatus.single &&
      entry.underWay.has(request.name);
    if (standing === SuspectStatus.rejected) {
      this.#wronglyRejected += request.crashesUpstreams ? 0 : 1;
    }
    const isRejected = standing === SuspectStatus.rejected;
    if (isRejected || isHeld || upstream === undefined) {
      resubmit();
      return;
    }
    this.#startRun(request, { entry, upstream, resubmit });
  }

  /** A suspected request goes to an upstream with the fewest runs. */
  #chooseUpstream(standing: SuspectStatus): Upstream | undefined {
    const up = this.#upstreams.filter(({ isUp }) => isUp);
    if (standing === SuspectStatus.unsuspected) {
      return this.#pickRandom(up);
    }
    const least = Math.min(...up.map(({ runs }) => runs.size));
    return this.#pickRandom(up.filter(({ runs }) => runs.size === least));
  }

  #startRun(
    request: RepeatedRequest,
    { entry, upstream, resubmit }: {
      entry: Entry;
      upstream: Upstream;
      resubmit: () => void;
    },
  ): void {
    const run: Run = { request, entry, sentAt: this.#now, isFinished: false };
    this.#recordSend(request);
    upstream.runs.add(run);
    const { name } = request;
    entry.underWay.set(name, (entry.underWay.get(name) ?? 0) + 1);
    const { id } = upstream;
    const isCrashing = request.crashesUpstreams;
    this.#schedule(
      isCrashing
        ? 20 + this.#randomUpTo(80)
        : this.#randomUpTo(request.maxDuration),
      () => {
        if (
          !run.isFinished && isCrashing && upstream.id === id && upstream.isUp
        ) {
          this.#crashUpstream(upstream);
          const crashes = this.#crashTimes.get(name) ?? [];
          this.#crashTimes.set(name, [...crashes, this.#now]);
        } else if (!run.isFinished) {
          upstream.runs.delete(run);
          this.#finishRun(run);
          if (entry.isUp && entry.registry.recordCompletion(name, this.#now)) {
            this.#reportToAll(entry);
          }
        }
        resubmit();
      },
    );
  }

  #recordSend({ name }: RepeatedRequest): void {
    const thirdCrashAt = this.#crashTimes.get(name)?.[REJECTION_CRASHES - 1];
    if (
      thirdCrashAt !== undefined &&
      this.#now > thirdCrashAt + MAX_PROPAGATION_TIME
    ) {
      this.#late.set(name, (this.#late.get(name) ?? 0) + 1);
    }
  }

  #finishRun(run: Run): void {
    run.isFinished = true;
    const { underWay } = run.entry;
    const remaining = (underWay.get(run.request.name) ?? 1) - 1;
    if (remaining > 0) {
      underWay.set(run.request.name, remaining);
    } else {
      underWay.delete(run.request.name);
    }
  }

  #startUpstream(upstream: Upstream): void {
    this.#instanceCount += 1;
    upstream.id = `u${this.#instanceCount}`;
    upstream.isUp = true;
  }

  #crashUpstream(upstream: Upstream): void {
    const { id, runs } = upstream;
    upstream.isUp = false;
    upstream.runs = new Set();
    for (const run of runs) {
      this.#finishRun(run);
      this.#schedule(
        this.#randomUpTo(MAX_DETECTION_DELAY),
        () => this.#recordCrash(run, id),
      );
    }
    this.#schedule(UPSTREAM_DOWNTIME, () => this.#startUpstream(upstream));
  }

  #recordCrash({ request, entry, sentAt }: Run, upstream: string): void {
    const key = {
      request: request.name,
      workspace: request.name,
      service: "desk",
      size: 0,
    };
    const run = { upstream, sentAt, endedAt: this.#now };
    if (entry.isUp && entry.registry.recordCrash(key, run)) {
      this.#reportToAll(entry);
    }
  }

  #reportToAll(entry: Entry): void {
    for (let index = 0; index < REPLICAS; index += 1) {
      this.#exchange(entry, index);
    }
  }

  #exchange(entry: Entry, index: number): void {
    if (!entry.isRunning) {
      return;
    }
    const replica = this.#replicas[index]!;
    const link = entry.links[index]!;
    const { registry } = entry;
    const sentRevision = registry.revision;
    const reported = registry.changesSince(link.sentRevision, this.#now);
    const lastRead = { feed: link.feed, readRevision: link.readRevision };
    this.#schedule(this.#randomUpTo(MAX_MESSAGE_DELAY), () => {
      if (!replica.isUp) {
        return;
      }
      const { feed } = replica;
      replica.registry.merge(reported, this.#now);
      const since = lastRead.feed === feed ? lastRead.readRevision : 0;
      const reply = replica.registry.changesSince(since, this.#now);
      const { revision } = replica.registry;
      this.#schedule(this.#randomUpTo(MAX_MESSAGE_DELAY), () => {
        if (entry.registry !== registry) {
          return;
        }
        // The first reply contains the configuration that the entry serves by.
        entry.isUp = true;
        link.sentRevision = lastRead.feed === feed ? sentRevision : 0;
        link.feed = feed;
        link.readRevision = revision;
        registry.merge(reply, this.#now);
      });
    });
  }

  /** Reclaims upstreams of a zone within the wave's spread. */
  #reclaimZone(): void {
    const { waveShare, waveSpread } = this.#scenario;
    const zone = Math.floor(this.#random() * ZONES);
    this.#waves += 1;
    for (const upstream of this.#upstreams) {
      if (upstream.zone === zone && this.#random() < waveShare) {
        const { id } = upstream;
        this.#schedule(this.#randomUpTo(waveSpread), () => {
          if (upstream.id === id && upstream.isUp) {
            this.#crashUpstream(upstream);
          }
        });
      }
    }
  }

  #killEntry(): void {
    const entry = this.#pickRandom(this.#entries.filter(({ isUp }) => isUp))!;
    entry.isUp = false;
    entry.isRunning = false;
    entry.registry = createRegistry();
    for (const upstream of this.#upstreams) {
      for (const run of upstream.runs) {
        if (run.entry === entry) {
          upstream.runs.delete(run);
          this.#finishRun(run);
        }
      }
    }
    this.#schedule(PROCESS_DOWNTIME, () => {
      entry.registry = createRegistry();
      entry.underWay = new Map();
      for (const link of entry.links) {
        Object.assign(link, { feed: 0, sentRevision: 0, readRevision: 0 });
      }
      entry.isRunning = true;
      this.#reportToAll(entry);
    });
  }

  /** Restarts a replica, which loses its state; one replica at a time. */
  #killReplica(): void {
    if (this.#replicas.some(({ isUp }) => !isUp)) {
      return;
    }
    const replica = this.#pickRandom(this.#replicas)!;
    replica.isUp = false;
    this.#schedule(PROCESS_DOWNTIME, () => {
      replica.registry = createRegistry();
      replica.feed = this.#nextFeedId;
      replica.isUp = true;
    });
  }
}

function createRegistry(): SuspectRegistry {
  return new SuspectRegistry({
    revisions: new RevisionCounter(),
    countUpstreams: () => UPSTREAMS,
  });
}

import { createSeededRandom, type Milliseconds } from "@heroncleat/base";
import { hashToUnit } from "./hash_to_unit.ts";
import type { OriginPolicy } from "./origin_policy.ts";
import type { OriginReport } from "./origin_report.ts";
import type { OriginScenario } from "./origin_scenario.ts";
import { PossibleOrigins } from "./possible_origins.ts";
import type { Route } from "./route.ts";
import { RouteKind } from "./route_kind.ts";
import type { SimulatedEntry } from "./simulated_origin_entry.ts";
import { SimulatedOriginArchive } from "./simulated_origin_archive.ts";
import { SimulatedOriginExchange } from "./simulated_origin_exchange.ts";
import { SimulatedOriginFaults } from "./simulated_origin_faults.ts";
import { SimulatedOriginNetwork } from "./simulated_origin_network.ts";
import { SimulatedOriginVersions } from "./simulated_origin_versions.ts";
import { SimulatedReplicaLink } from "./simulated_replica_link.ts";
import { StreamOrigins } from "./stream_origins.ts";
import { VirtualTime } from "./virtual_time.ts";

const SERVICE = "desk";
const REPLICA_COUNT = 5;
const ZONE_COUNT = 4;
/** Pause of a caller that reaches no entry. */
const RETRY_PAUSE: Milliseconds = 300;
const SYNC_INTERVAL: Milliseconds = 400;
/** As at entries: time for which a version that is new is held back. */
const NEW_VERSION_HOLD: Milliseconds = 1500;
const BREAK_SHARE = 0.3;
const BEGINS_PER_SECOND = 10;
/** Time before a version joins from which on streams begin. */
const JOIN_LEAD: Milliseconds = 2000;
/** Longest time that streams take beside a version that joins. */
const SHORT_STREAM_TIME: Milliseconds = 300;
/** Time at which versions appear, on average. */
const VERSION_INTERVAL: Milliseconds = 40_000;

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

/** A stream that an entry passes on to its caller. */
type Attempt = {
  readonly entry: SimulatedEntry;
  readonly stream: string;
  readonly version: string;
};

/**
 * Plays streams that break off and are resumed at other entries in virtual time,
 * with the decisions of real entries, while versions start and end, entries are
 * killed and cut off, and messages get lost.
 *
 * @internal
 */
export class SimulatedOrigins {
  readonly #scenario: OriginScenario;
  readonly #policy: OriginPolicy;
  readonly #random: () => number;
  readonly #entries: SimulatedEntry[] = [];
  readonly #time: VirtualTime;
  readonly #versions: SimulatedOriginVersions;
  readonly #link: SimulatedReplicaLink;
  readonly #exchange: SimulatedOriginExchange;
  readonly #faults: SimulatedOriginFaults;
  readonly #attempts = new Set<Attempt>();
  readonly report: OriginReport = {
    begun: 0,
    asked: 0,
    resumed: 0,
    wentOn: 0,
    cut: 0,
    cutWentOn: 0,
    mixed: 0,
    messages: 0,
    stored: 0,
    lateMessages: 0,
    overBudget: 0,
    confirmations: 0,
    searchTimes: [],
  };
  #streamCount = 0;
  #inventedCount = 0;

  constructor(scenario: OriginScenario, policy: OriginPolicy) {
    this.#scenario = scenario;
    this.#policy = policy;
    const random = this.#random = createSeededRandom(scenario.seed);
    const time = this.#time = new VirtualTime(random);
    const entries = this.#entries;
    this.#versions = new SimulatedOriginVersions(SERVICE, { time, random });
    const { report } = this;
    const network = new SimulatedOriginNetwork({
      time,
      random,
      entries,
      report,
      messageLoss: scenario.messageLoss,
    });
    const archive = new SimulatedOriginArchive({
      time,
      random,
      report,
      replicaCount: REPLICA_COUNT,
      copies: policy.replicaCopies,
    });
    this.#link = new SimulatedReplicaLink({
      time,
      random,
      versions: this.#versions,
      report,
      entryCount: scenario.entryCount,
      maxReplyDelay: scenario.maxReplyDelay,
      onReply: (entry) => this.#exchange.shareNewlyAmbiguous(entry),
    });
    this.#exchange = new SimulatedOriginExchange({
      policy,
      link: this.#link,
      archive,
      route: ROUTE,
      entries,
      network,
      time,
    });
    this.#faults = new SimulatedOriginFaults({
      time,
      random,
      entries,
      archive,
      createEntry: (index) => this.#createEntry(index),
      breakOff: (broken) => this.#breakOff(broken),
    });
    for (let index = 0; index < scenario.entryCount; index += 1) {
      entries.push(this.#createEntry(index));
    }
  }

  run(): OriginReport {
    const {
      duration,
      changesVersions,
      joinsAt,
      beginsPerSecond = BEGINS_PER_SECOND,
      inventedPerSecond = 0,
    } = this.#scenario;
    this.#versions.start();
    this.#versions.sweep();
    for (const index of this.#entries.keys()) {
      this.#sync(index);
    }
    this.#time.schedule(
      joinsAt === undefined ? 0 : joinsAt - JOIN_LEAD,
      () =>
        this.#time.repeat(1000 / beginsPerSecond, () => this.#beginStream()),
    );
    if (changesVersions) {
      this.#time.repeat(VERSION_INTERVAL, () => this.#versions.change());
    }
    if (joinsAt !== undefined) {
      this.#time.schedule(joinsAt, () => {
        this.#faults.restartSome();
        this.#versions.start();
      });
    }
    this.#faults.start(this.#scenario);
    if (inventedPerSecond > 0) {
      this.#time.repeat(1000 / inventedPerSecond, () => this.#resumeInvented());
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
      requestedAt: -Infinity,
      cutUntil: 0,
      losesUntil: 0,
      avoidedUntil: 0,
      isRunning: true,
    };
  }

  #sync(index: number): void {
    const entry = this.#entries[index]!;
    const now = this.#time.now;
    if (entry.isRunning && entry.cutUntil <= now) {
      this.#link.sync(entry);
    }
    const delay = SYNC_INTERVAL * (0.5 + this.#random() / 2);
    this.#time.schedule(delay, () => this.#sync(index));
  }

  // Entries

  /** Undefined while no entry runs. */
  #pickEntry(): SimulatedEntry | undefined {
    const running = this.#entries.filter(({ isRunning, avoidedUntil }) =>
      isRunning && avoidedUntil <= this.#time.now
    );
    return running[Math.floor(this.#random() * running.length)];
  }

  #chooseVersion(entry: SimulatedEntry): string | undefined {
    const first = Math.min(...entry.versions.values());
    const known = [...entry.versions].filter(([version]) =>
      this.#serves(version)
    );
    const settled = known.filter(([, seenAt]) =>
      seenAt === first || this.#time.now - seenAt >= NEW_VERSION_HOLD
    );
    const allowed = settled.length > 0 ? settled : known;
    return allowed[Math.floor(this.#random() * allowed.length)]?.[0];
  }

  // Streams

  #beginStream(): void {
    this.report.asked += 1;
    const entry = this.#pickEntry();
    if (entry === undefined) {
      return;
    }
    const version = this.#policy.isComputed
      ? this.#compute(`s${this.#streamCount}`, entry)
      : this.#chooseVersion(entry);
    if (version === undefined) {
      return;
    }
    const stream = `s${this.#streamCount}`;
    this.#streamCount += 1;
    this.report.begun += 1;
    this.#exchange.record(entry, stream, { service: SERVICE, version });
    this.#play({ entry, stream, version }, 7000);
  }

  #play(attempt: Attempt, spread: Milliseconds): void {
    this.#attempts.add(attempt);
    const lasts = this.#scenario.joinsAt === undefined
      ? 500 + this.#random() * spread
      : this.#random() * SHORT_STREAM_TIME;
    this.#time.schedule(lasts, () => this.#endAttempt(attempt));
  }

  #endAttempt(attempt: Attempt): void {
    if (!this.#attempts.delete(attempt)) {
      return;
    }
    const { entry, version } = attempt;
    const isLost = !entry.isRunning ||
      this.#entries.every((each) => each !== entry);
    const isBroken = isLost || !this.#serves(version) ||
      this.#random() < BREAK_SHARE;
    if (isBroken) {
      this.#scheduleReturn(attempt, { isCut: isLost });
    }
  }

  #breakOff(entries: ReadonlySet<SimulatedEntry>): void {
    for (const attempt of this.#attempts) {
      if (entries.has(attempt.entry)) {
        this.#attempts.delete(attempt);
        this.#scheduleReturn(attempt, { isCut: true });
      }
    }
  }

  #scheduleReturn(
    { stream, version }: Attempt,
    { isCut }: { isCut: boolean },
  ): void {
    const delay = 30 + this.#random() ** 3 * 4000;
    this.#time.schedule(delay, () => this.#resume({ stream, version, isCut }));
  }

  #resumeInvented(): void {
    this.#inventedCount += 1;
    const entry = this.#pickEntry();
    if (entry === undefined) {
      return;
    }
    this.#exchange.find(entry, `invented-${this.#inventedCount}`, () => {});
  }

  #serves(version: string): boolean {
    return this.#versions.countUpstreams(version) > 0;
  }

  #resume(
    { stream, version, isCut }: {
      stream: string;
      version: string;
      isCut: boolean;
    },
  ): void {
    const entry = this.#pickEntry();
    if (entry === undefined) {
      const retry = () => this.#resume({ stream, version, isCut });
      this.#time.schedule(RETRY_PAUSE, retry);
      return;
    }
    const isServed = this.#versions.countUpstreams(version) >= 2;
    this.report.resumed += isServed ? 1 : 0;
    this.report.cut += isServed && isCut ? 1 : 0;
    const startedAt = this.#time.now;
    this.#exchange.find(entry, stream, (result) => {
      this.#recordSearch(this.#time.now - startedAt);
      const chosen = result.kind === "found"
        ? result.origin.version
        : this.#policy.isComputed
        ? this.#compute(stream, entry)
        : undefined;
      if (chosen === undefined || !this.#serves(chosen)) {
        return;
      }
      this.report.wentOn += isServed ? 1 : 0;
      this.report.cutWentOn += isServed && isCut ? 1 : 0;
      this.report.mixed += chosen === version ? 0 : 1;
      this.#exchange.record(entry, stream, {
        service: SERVICE,
        version: chosen,
      });
      this.#play({ entry, stream, version }, 3000);
    });
  }

  /** What the entry knows itself takes no time. */
  #recordSearch(took: Milliseconds): void {
    if (took > 0) {
      this.report.searchTimes.push(took);
    }
  }

  #compute(stream: string, { versions }: SimulatedEntry): string | undefined {
    const serving = [...versions.keys()].filter((version) =>
      this.#serves(version)
    ).sort((left, right) =>
      hashToUnit.of(stream, left) - hashToUnit.of(stream, right)
    );
    return serving[0];
  }
}

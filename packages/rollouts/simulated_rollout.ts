import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import { assessVersion } from "./assess_version.ts";
import { isInProgress } from "./is_in_progress.ts";
import { planRollout } from "./plan_rollout.ts";
import type { Rollout } from "./rollout.ts";
import { RolloutRegistry } from "./rollout_registry.ts";
import { RolloutStage } from "./rollout_stage.ts";
import { sumReports } from "./sum_reports.ts";
import type { VersionReport } from "./version_report.ts";
import { VersionGate } from "./version_gate.ts";
import { VersionSamples } from "./version_samples.ts";
import type { VersionedUpstream } from "./versioned_upstream.ts";

/** How the new version misbehaves. */
export type VersionFault = {
  /** Share of its responses that are bad. */
  readonly share: number;
  readonly kind: "fails" | "slow";
  /** Time after the order from which it misbehaves. */
  readonly from: Milliseconds;
  /** Requests in flight at an upstream from which it misbehaves. */
  readonly minLoad: number;
  /** The only route on which it misbehaves; undefined for all. */
  readonly route: string | undefined;
};

type SimulationOptions = {
  readonly seed: number;
  readonly entries: number;
  /** Upstreams of each version. */
  readonly upstreams: number;
  /** Requests a second. */
  readonly rate: number;
  readonly duration: Milliseconds;
  /** Undefined for a good version. */
  readonly fault: VersionFault | undefined;
  /** Share of responses of any version that fail. */
  readonly baseFailures: number;
  /** Time for which no entry reaches the leader, and a leader is lost. */
  readonly outage: { readonly at: Milliseconds; readonly for: Milliseconds };
  /** Judges the version; `assessVersion` unless another way is compared. */
  readonly assess?: typeof assessVersion;
};

/** What a simulated rollout came to. */
export type SimulatedOutcome = {
  readonly stage: Rollout["stage"];
  readonly reason: string;
  readonly endedAt: Milliseconds;
  readonly sent: number;
  readonly exposed: number;
  /** Latest request to the new version after its 50th bad response. */
  readonly latestAfterFailures: Milliseconds;
  /** Requests in flight at the old version when it was stopped. */
  readonly interrupted: number;
};

const STEP: Milliseconds = 10;
const LEADER_INTERVAL: Milliseconds = 150;
const COMMIT_TIME: Milliseconds = 30;
const BOOT_TIME: Milliseconds = 2000;
const RUN_TIME: Milliseconds = 90;
const SLOW_FACTOR = 4;
const COUNTED_FAILURES = 50;
const LIMITS = { exposureShare: 0.1, exposureTolerance: 50 };
/** Routes and their shares of the requests. */
const ROUTES: readonly [string, number][] = [["calls", 0.8], ["lookups", 1]];

type Run = {
  readonly endsAt: Milliseconds;
  readonly upstream: VersionedUpstream;
  readonly isBad: boolean;
  readonly finish: () => void;
};

type Entry = {
  readonly gate: VersionGate;
  readonly samples: VersionSamples;
  readonly interval: Milliseconds;
  syncsAt: Milliseconds;
  report: readonly VersionReport[];
  followed: number;
  oldRequests: number;
};

/**
 * Plays the rollout of a version in virtual time, with the real decisions of
 * entries and leader, delayed exchanges, and an outage of the leader.
 */
export function simulateRollout(options: SimulationOptions): SimulatedOutcome {
  return new Simulation(options).run();
}

class Simulation {
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #registry = new RolloutRegistry();
  readonly #entries: Entry[] = [];
  readonly #upstreams: VersionedUpstream[] = [];
  readonly #loads = new Map<string, number>();
  #runs: Run[] = [];
  #now: Milliseconds = 0;
  #sent = 0;
  #exposed = 0;
  #badResponses = 0;
  #countedAt = Infinity;
  #latestAfterFailures = 0;
  #plannedAt = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    const interval = Math.min(600, 150 * Math.max(1, options.entries / 32));
    for (let index = 0; index < options.entries; index += 1) {
      this.#entries.push({
        gate: new VersionGate(),
        samples: new VersionSamples(),
        interval,
        syncsAt: this.#random() * interval,
        report: [],
        followed: 0,
        oldRequests: 0,
      });
    }
    this.#addUpstreams("v1");
  }

  run(): SimulatedOutcome {
    const { duration } = this.#options;
    this.#registry.apply({
      kind: "start_rollout",
      order: { service: "desk", destination: "v2", duration },
      isInPlace: false,
      at: 0,
    });
    let hasNewVersion = false;
    let endedAt: Milliseconds | undefined;
    let interrupted = 0;
    while (this.#now < duration) {
      this.#now += STEP;
      if (!hasNewVersion && this.#now >= BOOT_TIME) {
        hasNewVersion = true;
        this.#addUpstreams("v2");
      }
      this.#endRuns();
      this.#syncEntries();
      this.#plan();
      this.#sendRequests();
      const rollout = this.#registry.get("desk")!;
      if (endedAt === undefined && !isInProgress(rollout)) {
        endedAt = this.#now;
        if (rollout.stage === RolloutStage.completed) {
          interrupted = this.#runs.filter(({ upstream }) =>
            upstream.record.version === "v1"
          ).length;
        }
      }
    }
    const { stage, reason } = this.#registry.get("desk")!;
    return {
      stage,
      reason,
      endedAt: endedAt ?? Infinity,
      sent: this.#sent,
      exposed: this.#exposed,
      latestAfterFailures: this.#latestAfterFailures,
      interrupted,
    };
  }

  #addUpstreams(version: string): void {
    for (let index = 0; index < this.#options.upstreams; index += 1) {
      const upstream = {
        record: {
          id: `${version}-${index}`,
          service: "desk",
          state: "ready",
          version,
        },
      };
      this.#upstreams.push(upstream);
      for (const { gate } of this.#entries) {
        gate.observe(upstream, this.#now);
      }
    }
  }

  #isLeaderDown(): boolean {
    const { at, for: time } = this.#options.outage;
    return this.#now >= at && this.#now < at + time;
  }

  #syncEntries(): void {
    for (const entry of this.#entries) {
      if (this.#now < entry.syncsAt) {
        continue;
      }
      entry.syncsAt += entry.interval;
      if (this.#isLeaderDown()) {
        continue;
      }
      entry.followed = entry.gate.revision;
      // A copy, as the entry goes on counting.
      entry.report = structuredClone(entry.samples.report() ?? []);
      entry.gate.merge(this.#registry.list());
      entry.samples.follow(this.#registry.list());
    }
  }

  #plan(): void {
    if (this.#now - this.#plannedAt < LEADER_INTERVAL || this.#isLeaderDown()) {
      return;
    }
    this.#plannedAt = this.#now;
    const rollout = this.#registry.get("desk")!;
    if (!isInProgress(rollout)) {
      return;
    }
    const routes = sumReports(this.#entries.flatMap(({ report }) => report));
    const sums = Object.values(routes);
    const exposed = sums.reduce(
      (sum, route) => sum + route.destination.sent,
      0,
    );
    const step = planRollout(rollout, {
      limits: LIMITS,
      progress: {
        elapsed: this.#now,
        stageElapsed: this.#now - rollout.stageAt,
        verdict: (this.#options.assess ?? assessVersion)(routes),
        exposed,
        sent: exposed + sums.reduce((sum, route) => sum + route.others.sent, 0),
        destinationSlots: this.#countUpstreams("v2"),
        otherSlots: this.#countUpstreams("v1"),
        isDrained: this.#entries.every(({ followed, oldRequests }) =>
          followed >= rollout.revision && oldRequests === 0
        ),
      },
    });
    if (step !== undefined) {
      const { service, revision } = rollout;
      const at = this.#now + COMMIT_TIME;
      this.#registry.apply({
        kind: "move_rollout",
        service,
        revision,
        step,
        at,
      });
    }
  }

  #countUpstreams(version: string): number {
    return this.#upstreams.filter(({ record }) => record.version === version)
      .length;
  }

  #sendRequests(): void {
    const expected = this.#options.rate * STEP / 1000;
    let count = Math.floor(expected);
    count += this.#random() < expected - count ? 1 : 0;
    for (let index = 0; index < count; index += 1) {
      this.#sendRequest();
    }
  }

  #sendRequest(): void {
    const entry = this
      .#entries[Math.floor(this.#random() * this.#entries.length)]!;
    const filters = entry.gate.admit("desk", {
      now: this.#now,
      upstreams: () => this.#upstreams,
      isRetry: false,
      random: this.#random(),
    }) ?? [() => true];
    for (const isAdmitted of filters) {
      const admitted = this.#upstreams.filter(isAdmitted);
      if (admitted.length > 0) {
        this.#start(entry, this.#leastLoaded(admitted));
        return;
      }
    }
  }

  #leastLoaded(upstreams: readonly VersionedUpstream[]): VersionedUpstream {
    let best = upstreams[0]!;
    for (const upstream of upstreams) {
      if (this.#loadOf(upstream) < this.#loadOf(best)) {
        best = upstream;
      }
    }
    return best;
  }

  #loadOf({ record }: VersionedUpstream): number {
    return this.#loads.get(record.id) ?? 0;
  }

  #start(entry: Entry, upstream: VersionedUpstream): void {
    const { version, id } = upstream.record;
    const isNew = version === "v2";
    const draw = this.#random();
    const [route] = ROUTES.find(([, share]) => draw < share)!;
    const load = this.#loadOf(upstream) + 1;
    this.#loads.set(id, load);
    const fault = isNew ? this.#faultOf(route, load) : undefined;
    const isFailure = fault?.kind === "fails" ||
      this.#random() < this.#options.baseFailures;
    const runTime = RUN_TIME * (0.5 + this.#random()) *
      (fault?.kind === "slow" ? SLOW_FACTOR : 1);
    this.#sent += 1;
    this.#exposed += isNew ? 1 : 0;
    if (isNew && this.#countedAt < this.#now) {
      this.#latestAfterFailures = this.#now - this.#countedAt;
    }
    entry.oldRequests += isNew ? 0 : 1;
    const record = entry.samples.begin({ service: "desk", route, version });
    this.#runs.push({
      endsAt: this.#now + runTime,
      upstream,
      isBad: fault !== undefined,
      finish: () => {
        entry.oldRequests -= isNew ? 0 : 1;
        record?.({ isFailure, firstByteRatio: undefined, total: runTime });
      },
    });
  }

  #faultOf(route: string, load: number): VersionFault | undefined {
    const { fault } = this.#options;
    if (fault === undefined) {
      return undefined;
    }
    const isActive = this.#now >= fault.from && load >= fault.minLoad &&
      (fault.route === undefined || fault.route === route);
    return isActive && this.#random() < fault.share ? fault : undefined;
  }

  #endRuns(): void {
    const remaining: Run[] = [];
    for (const run of this.#runs) {
      if (run.endsAt > this.#now) {
        remaining.push(run);
        continue;
      }
      run.finish();
      const { id } = run.upstream.record;
      this.#loads.set(id, this.#loads.get(id)! - 1);
      this.#badResponses += run.isBad ? 1 : 0;
      if (run.isBad && this.#badResponses === COUNTED_FAILURES) {
        this.#countedAt = this.#now;
      }
    }
    this.#runs = remaining;
  }
}

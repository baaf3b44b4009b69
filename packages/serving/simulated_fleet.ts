import type { Milliseconds, Random } from "@heroncleat/base";
import type { DrainDisturbance } from "./drain_plan.ts";
import type { DrainPolicy } from "./drain_policy.ts";
import type { DrainReport } from "./drain_report.ts";
import { instanceId } from "./instance_id.ts";
import type { SimulatedNetwork } from "./simulated_network.ts";
import type { SimulatedReplicas } from "./simulated_replicas.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { VirtualTime } from "./virtual_time.ts";

const SERVICE = "desk";
const SLOTS = 16;
const DRAIN_TIMEOUT: Milliseconds = 2000;
/** Time that an upstream serves beyond the drain timeout, at most. */
const MAX_EXTRA_TIME: Milliseconds = 3000;
/** Time after which an upstream ends whose drain isn't acknowledged. */
const UNACKNOWLEDGED_TIME: Milliseconds = 4000;
const HEARTBEAT_INTERVAL: Milliseconds = 1000;
const REPORT_TIMEOUT: Milliseconds = 1000;
const LATE_SHARE = 0.03;
const MAX_LATENESS: Milliseconds = 3000;
const HOLD_TIME: Milliseconds = 900;
const HOLD_POLL_INTERVAL: Milliseconds = 50;

type FleetOptions = {
  readonly time: VirtualTime;
  readonly network: SimulatedNetwork;
  readonly random: Random;
  readonly replicas: SimulatedReplicas;
  readonly policy: DrainPolicy;
  readonly upstreamsPerVersion: number;
  readonly report: DrainReport;
};

/** A run of a stream at an upstream. */
type SimulatedRun = { readonly end: (isBroken: boolean) => void };

export type SimulatedUpstream = {
  readonly record: UpstreamRecord;
  readonly runs: Set<SimulatedRun>;
  isUp: boolean;
  isDraining: boolean;
  sequence: number;
  /** The replica that gets its reports. */
  replica: number;
  reclaimedAt: Milliseconds;
  reportedAt: Milliseconds;
  acknowledgedAt: Milliseconds;
};

/**
 * Upstreams of two versions in virtual time, which report to control replicas,
 * drain, are reclaimed and crash.
 *
 * @internal
 */
export class SimulatedFleet {
  readonly #options: FleetOptions;
  readonly #time: VirtualTime;
  readonly #network: SimulatedNetwork;
  readonly #random: Random;
  readonly upstreams: SimulatedUpstream[] = [];
  readonly #versions: string[] = [];
  #versionCount = 0;
  #startCount = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#time = options.time;
    this.#network = options.network;
    this.#random = options.random;
  }

  start(): void {
    this.#startVersion();
    this.#startVersion();
  }

  /** Begins a disturbance that concerns upstreams or replicas. */
  disturb({ kind, draws }: DrainDisturbance): void {
    const draw = (at: number) => draws[at % draws.length]!;
    if (kind < 0.45) {
      this.#replaceVersion(draw);
    } else if (kind < 0.6) {
      this.#drainOne(draw);
    } else if (kind < 0.75) {
      this.#reclaim(draw);
    } else {
      this.#crash(draw);
    }
  }

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
      replica: this.#startCount % this.#options.replicas.count,
      reclaimedAt: Infinity,
      reportedAt: Infinity,
      acknowledgedAt: Infinity,
    };
    this.upstreams.push(upstream);
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
    const delay = this.#network.latency() +
      (isLate ? this.#random() * MAX_LATENESS : 0);
    let isAcknowledged = false;
    const target = upstream.replica;
    this.#time.schedule(
      delay,
      () =>
        this.#options.replicas.receive(target, update, {
          hold: (proceed) => this.#holdLast(upstream, proceed),
          acknowledge: () => {
            isAcknowledged = true;
            if (update.state === "draining") {
              this.#recordAcknowledgement(upstream);
            }
          },
        }),
    );
    this.#time.schedule(REPORT_TIMEOUT, () => {
      if (!isAcknowledged && upstream.isUp) {
        upstream.replica = (target + 1) % this.#options.replicas.count;
        this.#heartbeat(upstream);
      }
    });
  }

  #recordAcknowledgement(upstream: SimulatedUpstream): void {
    const { now } = this.#time;
    if (upstream.acknowledgedAt < Infinity) {
      return;
    }
    upstream.acknowledgedAt = now;
    this.#options.report.acknowledged += 1;
    this.#options.report.slowestAcknowledgement = Math.max(
      this.#options.report.slowestAcknowledgement,
      now - upstream.reportedAt,
    );
    const left = DRAIN_TIMEOUT + this.#random() * MAX_EXTRA_TIME;
    this.#time.schedule(left, () => this.#end(upstream, { isSilent: false }));
  }

  /** Holds the last two drains of a version up, if the policy says so. */
  #holdLast(upstream: SimulatedUpstream, proceed: () => void): void {
    const { version } = upstream.record;
    const others = this.upstreams.filter((other) =>
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
    this.upstreams.splice(this.upstreams.indexOf(upstream), 1);
    for (const run of [...upstream.runs]) {
      run.end(true);
    }
    if (!isSilent) {
      this.#options.replicas.remove(upstream.replica, upstream.record);
    }
  }

  /** A version drains in waves, and some crash meanwhile. */
  #replaceVersion(draw: (at: number) => number): void {
    const version = this.#versions.shift()!;
    const waves = 1 + Math.floor(draw(0) * 3);
    const pause = draw(1) * 1500;
    const crashShare = draw(2) < 0.5 ? draw(3) * 0.7 : 0;
    this.#startVersion();
    const leaving = this.upstreams.filter(({ record }) =>
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
    for (const [at, upstream] of [...this.upstreams].entries()) {
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
    for (const [at, upstream] of [...this.upstreams].entries()) {
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
    const ready = this.upstreams.filter(({ isDraining }) => !isDraining);
    return ready[Math.floor(draw * ready.length)];
  }
}

import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  assessVersion,
  isInProgress,
  planRollout,
  type Rollout,
  type RolloutLimits,
  type RolloutProgress,
  sumReports,
  versionSide,
} from "@heroncleat/rollouts";
import type { Hub } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { ReplicaGroup } from "./replica_group.ts";

const RUN_INTERVAL: Milliseconds = 150;
/** Time without a heartbeat after which an upstream doesn't count. */
const HEARTBEAT_TIMEOUT: Milliseconds = 3500;

type RunnerOptions = {
  readonly group: Pick<ReplicaGroup, "leadership" | "propose" | "application">;
  readonly hub: Hub;
  readonly clock: Clock;
  readonly limits: RolloutLimits;
  readonly log: Log;
  readonly metrics: Metrics;
};

/**
 * Moves rollouts through their stages while this replica leads the group. Steps
 * of a leader that was replaced meanwhile have no effect, as each names the
 * revision that it continues.
 */
export class RolloutRunner {
  readonly #options: RunnerOptions;
  readonly #timer: NodeJS.Timeout;
  /** Local time at which a rollout was first seen, by its start. */
  readonly #firstSeen = new Map<string, Milliseconds>();
  #isRunning = false;

  constructor(options: RunnerOptions) {
    this.#options = options;
    this.#timer = setInterval(() => void this.#run(), RUN_INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #run(): Promise<void> {
    const { group, log } = this.#options;
    if (this.#isRunning) {
      return;
    }
    this.#isRunning = true;
    try {
      for (const rollout of group.application.rollouts.list()) {
        this.#recordSeen(rollout);
        if (isInProgress(rollout) && group.leadership !== undefined) {
          await this.#advance(rollout);
        }
      }
    } catch (error) {
      log.error("A rollout can't be moved", { error: String(error) });
    } finally {
      this.#isRunning = false;
    }
  }

  async #advance(rollout: Rollout): Promise<void> {
    const { group, limits, log, metrics } = this.#options;
    const progress = this.#assess(rollout);
    const step = planRollout(rollout, { progress, limits });
    if (step === undefined) {
      return;
    }
    const { service, destination, revision } = rollout;
    const { exposed, sent, elapsed, verdict } = progress;
    log.info(`Moves a rollout: ${step.stage}`, {
      service,
      destination,
      share: step.share,
      reason: step.reason,
      verdict: verdict.state,
      exposed,
      sent,
      elapsed: Math.round(elapsed),
    });
    if (step.stage !== rollout.stage) {
      metrics.increment(`rollouts.${step.stage}`);
    }
    const at = this.#wall();
    await group.propose({ kind: "move_rollout", service, revision, step, at });
  }

  #assess(rollout: Rollout): RolloutProgress {
    const { hub, clock } = this.#options;
    const now = clock.steady();
    const routes = sumReports(hub.versionReports(rollout));
    let exposed = 0;
    let sent = 0;
    for (const { destination, others } of Object.values(routes)) {
      exposed += destination.sent;
      sent += destination.sent + others.sent;
    }
    return {
      elapsed: this.#elapsed(rollout),
      stageElapsed: this.#wall() - rollout.stageAt,
      verdict: assessVersion(routes),
      exposed,
      sent,
      ...this.#countSlots(rollout, now),
      isDrained: hub.isFollowedByAll(rollout, now) &&
        this.#countOldRequests(rollout, now) === 0,
    };
  }

  #countSlots(
    rollout: Rollout,
    now: Milliseconds,
  ): Pick<RolloutProgress, "destinationSlots" | "otherSlots"> {
    let destinationSlots = 0;
    let otherSlots = 0;
    for (const { record, receivedAt } of this.#options.hub.directory.list()) {
      const { service, state, slots, version, isCold } = record;
      const isLive = service === rollout.service && state === "ready" &&
        now - receivedAt < HEARTBEAT_TIMEOUT;
      const side = isLive ? versionSide(rollout, version) : undefined;
      if (side === "other") {
        otherSlots += slots;
      } else if (side === "destination" && isCold !== true) {
        destinationSlots += slots;
      }
    }
    return { destinationSlots, otherSlots };
  }

  /** Requests in flight at upstreams of other versions. */
  #countOldRequests(rollout: Rollout, now: Milliseconds): number {
    const { hub } = this.#options;
    let count = 0;
    for (const [id, { requests }] of Object.entries(hub.totalLoads(now))) {
      const record = hub.directory.get(id)?.record;
      const isOld = record?.service === rollout.service &&
        versionSide(rollout, record.version) !== "destination";
      count += isOld ? requests : 0;
    }
    return count;
  }

  /**
   * Time since the order: by the group's time, but not less than has passed
   * here, as wall clocks may step back.
   */
  #elapsed(rollout: Rollout): Milliseconds {
    const seenFor = this.#options.clock.steady() - this.#recordSeen(rollout);
    return Math.max(seenFor, this.#wall() - rollout.startedAt);
  }

  #recordSeen({ service, startedAt }: Rollout): Milliseconds {
    const key = `${startedAt} ${service}`;
    const seenAt = this.#firstSeen.get(key) ?? this.#options.clock.steady();
    this.#firstSeen.set(key, seenAt);
    return seenAt;
  }

  #wall(): Milliseconds {
    const { hub, clock } = this.#options;
    return hub.estimateWallTime(clock.steady()) ?? clock.wall();
  }
}

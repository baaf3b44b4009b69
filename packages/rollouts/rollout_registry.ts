import { type Milliseconds, unreachable } from "@heroncleat/base";
import { isInProgress } from "./is_in_progress.ts";
import type { Rollout } from "./rollout.ts";
import type { RolloutCommand } from "./rollout_command.ts";
import type { RolloutOrder } from "./rollout_order.ts";
import { RolloutStage } from "./rollout_stage.ts";

/**
 * Time after a rollout was ordered in which the same order is a repeat, even if
 * the rollout has been reverted meanwhile. Operators repeat an order for a few
 * seconds if its acknowledgement is lost.
 */
const REPEAT_WINDOW: Milliseconds = 10_000;
/** Reverted versions of a service that are remembered. */
const MAX_REJECTED = 16;

/**
 * The latest rollout of each service, as replicated by the control group.
 *
 * @public
 */
export class RolloutRegistry {
  #rollouts: readonly Rollout[] = [];
  #revision = 0;

  constructor(rollouts: readonly Rollout[] = []) {
    this.#rollouts = rollouts;
    this.#revision = Math.max(0, ...rollouts.map(({ revision }) => revision));
  }

  /** Number of the last change; 0 without one. */
  get revision(): number {
    return this.#revision;
  }

  list(): readonly Rollout[] {
    return this.#rollouts;
  }

  get(service: string): Rollout | undefined {
    return this.#rollouts.find((rollout) => rollout.service === service);
  }

  /**
   * Classifies an order: whether it starts a rollout, repeats the latest one,
   * or conflicts with one to another version that is in progress.
   *
   * @param at The current time in ms since 1970.
   */
  classify(
    order: RolloutOrder,
    at: Milliseconds,
  ): "new" | "repeated" | "conflicting" {
    const latest = this.get(order.service);
    if (latest === undefined) {
      return "new";
    }
    if (latest.destination !== order.destination) {
      return isInProgress(latest) ? "conflicting" : "new";
    }
    const isReverted = latest.stage === RolloutStage.reverted;
    return isReverted && at - latest.startedAt > REPEAT_WINDOW
      ? "new"
      : "repeated";
  }

  /** Applies a committed command. */
  apply(command: RolloutCommand): void {
    switch (command.kind) {
      case "start_rollout":
        this.#start(command);
        break;
      case "move_rollout":
        this.#move(command);
        break;
      default:
        unreachable(command);
    }
  }

  #start(
    { order, isInPlace, at }: Extract<
      RolloutCommand,
      { kind: "start_rollout" }
    >,
  ): void {
    if (this.classify(order, at) === "new") {
      this.#store({
        ...order,
        rejected: this.#listRejected(order),
        startedAt: at,
        stage: isInPlace ? RolloutStage.completed : RolloutStage.canary,
        share: isInPlace ? 1 : 0,
        stageAt: at,
        revision: 0,
        reason: isInPlace ? "all upstreams run the version" : "ordered",
      });
    }
  }

  #move(
    command: Extract<RolloutCommand, { kind: "move_rollout" }>,
  ): void {
    const { service, revision, step, at } = command;
    const current = this.get(service);
    if (current?.revision === revision && isInProgress(current)) {
      const stageAt = step.stage === current.stage ? current.stageAt : at;
      this.#store({ ...current, ...step, stageAt });
    }
  }

  #listRejected({ service, destination }: RolloutOrder): string[] {
    const latest = this.get(service);
    const rejected = [...latest?.rejected ?? []];
    if (latest?.stage === RolloutStage.reverted) {
      rejected.push(latest.destination);
    }
    return rejected.filter((version) => version !== destination)
      .slice(-MAX_REJECTED);
  }

  #store(rollout: Rollout): void {
    this.#revision += 1;
    const others = this.#rollouts.filter(({ service }) =>
      service !== rollout.service
    );
    this.#rollouts = [...others, { ...rollout, revision: this.#revision }];
  }
}

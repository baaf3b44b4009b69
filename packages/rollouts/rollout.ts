import type { Milliseconds } from "@heroncleat/base";
import type { RolloutStage } from "./rollout_stage.ts";

/** The latest rollout of a service. @public */
export type Rollout = {
  readonly service: string;
  /** The version to which the service moves. */
  readonly destination: string;
  /** Versions of earlier rollouts that were reverted; they get no requests. */
  readonly rejected: readonly string[];
  /** Time from the order within which the rollout has to end. */
  readonly duration: Milliseconds;
  /** When it was ordered, in ms since 1970; identifies it within the service. */
  readonly startedAt: Milliseconds;
  readonly stage: typeof RolloutStage[keyof typeof RolloutStage];
  /** Share of the requests that go to the new version, from 0 to 1. */
  readonly share: number;
  /** When the stage began, in ms since 1970. */
  readonly stageAt: Milliseconds;
  /** Number of the last change among those of all rollouts. */
  readonly revision: number;
  /** Why the stage was entered. */
  readonly reason: string;
};

import type { Rollout } from "./rollout.ts";
import { RolloutStage } from "./rollout_stage.ts";

/** Whether a rollout has neither completed nor been reverted. @public */
export function isInProgress({ stage }: Rollout): boolean {
  return stage !== RolloutStage.completed && stage !== RolloutStage.reverted;
}

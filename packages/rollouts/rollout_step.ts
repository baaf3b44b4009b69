import type { Rollout } from "./rollout.ts";

/** The next stage of a rollout, or another share in the same one. @public */
export type RolloutStep = Pick<Rollout, "stage" | "share" | "reason">;

import type { Milliseconds } from "@heroncleat/base";
import type { RolloutOrder } from "./rollout_order.ts";
import type { RolloutStep } from "./rollout_step.ts";

/** A change of the replicated rollouts. @public */
export type RolloutCommand =
  | {
    readonly kind: "start_rollout";
    readonly order: RolloutOrder;
    /** Whether all upstreams of the service run the version already. */
    readonly isInPlace: boolean;
    /** In ms since 1970. */
    readonly at: Milliseconds;
  }
  /** Ignored unless the rollout still has the named revision. */
  | {
    readonly kind: "move_rollout";
    readonly service: string;
    readonly revision: number;
    readonly step: RolloutStep;
    /** In ms since 1970. */
    readonly at: Milliseconds;
  };

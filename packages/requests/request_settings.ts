import type { Milliseconds } from "@heroncleat/base";
import type { ReclaimPolicy } from "./reclaim_policy.ts";

/** Settings and policy of one owned request. @public */
export type RequestSettings = {
  /** Name of the entry that owns the request. */
  readonly self: string;
  /** How long a copy may stay unanswered. */
  readonly copyTimeout: Milliseconds;
  /** How long a standby may take to take over. */
  readonly handOverTimeout: Milliseconds;
  /** How long an upstream may stay silent. */
  readonly idleTimeout: Milliseconds;
  /** Pause before routing or moving the standby is tried again. */
  readonly retryDelay: Milliseconds;
  /** Attempts before the request is given up. */
  readonly maxAttempts: number;
  /** Chooses what to do when the upstream is being reclaimed. */
  readonly chooseReclaimAction: ReclaimPolicy;
};

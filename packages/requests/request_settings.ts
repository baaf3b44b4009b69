import type { Milliseconds } from "@heroncleat/base";
import type { ReclaimPolicy } from "./reclaim_policy.ts";

/**
 * Settings and reclaim policy of an owned request.
 *
 * @public
 */
export type RequestSettings = {
  /** Name of the entry that owns the request. */
  readonly self: string;
  /** Time that a standby may take to acknowledge a copy. */
  readonly copyTimeout: Milliseconds;
  /** Time that a standby may take to become the owner. */
  readonly handOverTimeout: Milliseconds;
  /** Time between chunks after which an attempt times out. */
  readonly idleTimeout: Milliseconds;
  /** Delay before a retry to route or to move the standby. */
  readonly retryDelay: Milliseconds;
  /** Attempts before the request fails. */
  readonly maxAttempts: number;
  readonly chooseReclaimAction: ReclaimPolicy;
};

import type { Milliseconds } from "@heroncleat/base";
import type { Priority } from "@heroncleat/schema";

/**
 * Settings of admission to one model or service.
 *
 * @public
 */
export type AdmissionSettings = {
  /** Queued requests of all workspaces. */
  readonly maxQueued: number;
  /** The defaults apply to workspaces without a configured limit. */
  readonly defaultWeight: number;
  readonly defaultMaxRunning: number;
  readonly defaultMaxQueued: number;
  /**
   * Virtual time, in requests divided by weight, that a workspace may be ahead
   * of the one furthest behind and still go first by priority.
   */
  readonly burst: number;
  /**
   * Longest wait in the queue by priority. A response that starts later is of
   * little use, so the capacity goes to a request that can still be on time.
   */
  readonly maxWait: Readonly<Record<Priority, Milliseconds>>;
  /** Lower bound of the retry delay sent to refused callers. */
  readonly minRetryAfter: Milliseconds;
};

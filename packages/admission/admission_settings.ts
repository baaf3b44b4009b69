import type { Milliseconds } from "@heroncleat/base";
import type { Priority } from "@heroncleat/schema";

/** Settings of admission to one model or service. @public */
export type AdmissionSettings = {
  /** Requests queued in all. */
  readonly maxQueued: number;
  /** Limits of a workspace that the configuration doesn't name. */
  readonly defaultWeight: number;
  readonly defaultMaxRunning: number;
  readonly defaultMaxQueued: number;
  /**
   * Served work, divided by weight, that a workspace may be ahead of the
   * furthest behind and still go first by priority.
   */
  readonly burst: number;
  /**
   * Longest wait in the queue by priority: an answer that starts later is of
   * little use, and its place serves another request in time.
   */
  readonly mostWait: Readonly<Record<Priority, Milliseconds>>;
  /** Shortest time a refused caller is told to wait. */
  readonly leastRetryAfter: Milliseconds;
};

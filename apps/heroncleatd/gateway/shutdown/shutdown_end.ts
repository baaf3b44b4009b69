import type { Milliseconds } from "@heroncleat/base";

/** How a shutdown came to its end. */
export type ShutdownEnd = {
  /** Whether nothing was in flight before the end of the grace period. */
  readonly isEarly: boolean;
  /** By how much the latest of its timers ran late. */
  readonly largestDelay: Milliseconds;
};

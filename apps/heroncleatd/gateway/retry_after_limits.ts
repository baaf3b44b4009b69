import type { Milliseconds } from "@heroncleat/base";

/** Shortest and longest time after which a refused caller comes back. */
export const retryAfterLimits: {
  readonly min: Milliseconds;
  readonly max: Milliseconds;
} = { min: 100, max: 3000 };

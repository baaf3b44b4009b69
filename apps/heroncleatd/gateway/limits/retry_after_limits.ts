import type { Milliseconds } from "@heroncleat/base";

/** Limits of the Retry-After times that are sent to callers. */
export const retryAfterLimits: {
  readonly min: Milliseconds;
  readonly max: Milliseconds;
} = { min: 100, max: 3000 };

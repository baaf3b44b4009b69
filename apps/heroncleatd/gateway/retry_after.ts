import type { Milliseconds } from "@heroncleat/base";

/** Shortest and longest time after which a refused caller comes back. */
export const retryAfter: {
  readonly least: Milliseconds;
  readonly most: Milliseconds;
} = { least: 100, most: 3000 };

import type { Milliseconds } from "@heroncleat/base";

/** The configuration document that an entry applied last. */
export type AppliedDocument = {
  readonly version: number;
  /** Monotonic time at which it was applied. */
  readonly at: Milliseconds;
};

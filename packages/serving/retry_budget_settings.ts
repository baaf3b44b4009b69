import type { Milliseconds } from "@heroncleat/base";

/** Bounds of the retries of a service, over all entries. @public */
export type RetryBudgetSettings = {
  readonly window: Milliseconds;
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries allowed per window. */
  readonly minRetries: number;
};

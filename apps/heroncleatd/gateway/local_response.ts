import type { Milliseconds } from "@heroncleat/base";

/** A response that the entry creates itself. */
export type LocalResponse = {
  readonly status: number;
  /** What is wrong, and the remedy. */
  readonly message: string;
  readonly retryAfter?: Milliseconds;
};

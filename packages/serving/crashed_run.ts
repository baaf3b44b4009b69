import type { Milliseconds } from "@heroncleat/base";

/**
 * One run of a request whose upstream crashed, with times of the local clock.
 */
export type CrashedRun = {
  /** ID of the instance that crashed. */
  readonly upstream: string;
  readonly sentAt: Milliseconds;
  readonly endedAt: Milliseconds;
};

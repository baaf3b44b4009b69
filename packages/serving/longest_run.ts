import type { Milliseconds } from "@heroncleat/base";

/** The longest of the recent runs of a route. @public */
export type LongestRun = {
  readonly duration: Milliseconds;
  /** Number of completed runs among which it is the longest. */
  readonly runCount: number;
};

import type { Milliseconds } from "@heroncleat/base";

/** Durations of a request that an upstream served completely. @public */
export type FinishedRun = {
  /** Time from its dispatch until the end of the response. */
  readonly took: Milliseconds;
  /**
   * Time from its dispatch until the first event of a stream; undefined for
   * other responses, whose first byte may come when they are complete.
   */
  readonly firstTokenAfter: Milliseconds | undefined;
};

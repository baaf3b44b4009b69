import type { Milliseconds } from "@heroncleat/base";

/** Why and how long requests with a part of a prompt are rejected. @internal */
export type RejectedPart = {
  /** Time of the last crash. */
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  /** Parts with the same crashes; requests with all of them are rejected. */
  readonly together: readonly string[];
};

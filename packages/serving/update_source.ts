import type { Milliseconds } from "@heroncleat/base";

/** Where an update of an upstream comes from. @public */
export type UpdateSource = {
  /**
   * host:port of the replica that forwarded it; empty for the upstream itself.
   */
  readonly reporter: string;
  /** Time since the upstream sent it; 0 if unknown. */
  readonly age: Milliseconds;
};

import type { Milliseconds } from "@heroncleat/base";

/** Where an update of an upstream comes from. @public */
export type UpdateSource = {
  /** host:port of the replica that passed it on; empty for the upstream. */
  readonly reporter: string;
  /** Time since it came from the upstream; 0 where nobody said. */
  readonly age: Milliseconds;
};

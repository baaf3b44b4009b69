import type { Milliseconds } from "@heroncleat/base";

/** Where an update of an upstream comes from. @public */
export type UpdateSource = {
  /**
   * host:port of the replica that forwarded it; empty for the upstream itself.
   */
  readonly reporter: string;
  /** Time since the upstream sent it; 0 if unknown. */
  readonly age: Milliseconds;
  /**
   * Time since an upstream that drains first said so, at most; undefined if it
   * doesn't drain, or that isn't known.
   */
  readonly drainAge?: Milliseconds | undefined;
};

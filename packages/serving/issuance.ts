import type { Milliseconds } from "@heroncleat/base";

/**
 * What the entries of a replica may use of all rate limits, at one moment.
 *
 * @internal
 */
export type Issuance = {
  /** Share of every limit, 0 to 1. */
  readonly share: number;
  readonly now: Milliseconds;
  /** Unix time, about the same at all replicas. */
  readonly wall: Milliseconds;
};

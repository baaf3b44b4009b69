import type { Milliseconds } from "@heroncleat/base";

/** A request as received by an upstream. */
export type ReceivedRequest = {
  readonly attempt: string;
  readonly upstream: string;
  /** Host of the entry that sent it. */
  readonly from: string;
  readonly at: Milliseconds;
  readonly isNonIdempotent: boolean;
  /** Whether it goes on with a stream after an event. */
  readonly isResumed: boolean;
  /** Path and query. */
  readonly target: string;
  /** What upstreams crash on in the request; undefined if nothing. */
  readonly crashCause: string | undefined;
};

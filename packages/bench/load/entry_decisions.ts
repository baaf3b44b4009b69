import type { Milliseconds } from "@heroncleat/base";
import type { OfferedRequest } from "./offered_request.ts";

/** Decisions of one entry. */
export type EntryDecisions = {
  /** Decides about a request that a caller sent to this entry. */
  decide(
    request: OfferedRequest,
    now: Milliseconds,
  ):
    | {
      readonly kind: "sent";
      readonly upstream: string;
      /** Expected time to first token; 0 where none is estimated. */
      readonly expected: Milliseconds;
    }
    | { readonly kind: "refused"; readonly retryAfter: Milliseconds };
  /** Records the first event of a request, and the time since it was sent. */
  recordFirstToken(
    request: OfferedRequest,
    took: Milliseconds,
    now: Milliseconds,
  ): void;
  /** @param isComplete Whether the response was received whole. */
  recordEnd(
    request: OfferedRequest,
    now: Milliseconds,
    isComplete: boolean,
  ): void;
  /** Exchanges state with the control replica. */
  exchange(now: Milliseconds): void;
};

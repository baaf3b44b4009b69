import type { Milliseconds } from "@heroncleat/base";
import type { RefusalReason } from "./refusal_reason.ts";

/** A decision about a request, with the inputs that determined it. @public */
export type SheddingDecision =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfter: Milliseconds;
    /** Longest wait at which the request would have been admitted. */
    readonly limit: Milliseconds;
    /** Share of the workspace's demand that is within its fair share, to 1. */
    readonly share: number;
    /** Age of the sums over all entries; undefined if only own demand counts. */
    readonly totalsAge: Milliseconds | undefined;
  };

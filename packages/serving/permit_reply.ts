import type { PermitOutcome } from "./permit_outcome.ts";
import type { RateLimit } from "./rate_limit.ts";

/** Reply of a control replica to a request for permits. @public */
export type PermitReply =
  /** This replica doesn't issue permits, or not yet. */
  | { readonly isIssuing: false }
  | {
    readonly isIssuing: true;
    /** One for each waiting request. */
    readonly outcomes: readonly PermitOutcome[];
    /** Limits that the entry doesn't know yet. */
    readonly limits: readonly RateLimit[];
  };

import type { Milliseconds } from "@heroncleat/base";
import type { OfferedRequest } from "./offered_request.ts";

/** How a request ended for its caller. */
export type Outcome = {
  readonly request: OfferedRequest;
  readonly kind: "on_time" | "late" | "refused" | "lost";
  /** Time from the caller's first attempt to the first event, if there was. */
  readonly firstToken: Milliseconds | undefined;
  /**
   * By how much the first event came later than expected when the request was
   * sent; undefined without one.
   */
  readonly estimateError: Milliseconds | undefined;
};

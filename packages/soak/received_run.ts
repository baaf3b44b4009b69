import type { Milliseconds } from "@heroncleat/base";
import type { ReceivedRequest } from "./received_request.ts";

/** A run of an attempt at an upstream. */
export type ReceivedRun = ReceivedRequest & {
  /** When the first run of the attempt began. */
  readonly firstAt: Milliseconds;
  /**
   * How and when it ended at its sound upstream: its connection was cut, or the
   * whole response was sent. Undefined if it hasn't, or ended otherwise.
   */
  readonly end?:
    | { readonly kind: "cut" | "complete"; readonly at: Milliseconds }
    | undefined;
};

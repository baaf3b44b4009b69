import type { FaultKind } from "./fault_kind.ts";
import type { Milliseconds } from "./milliseconds.ts";

/**
 * An error reported to a caller or an operator. Its message names the cause
 * and the remedy.
 *
 * @public
 */
export type Fault = {
  readonly kind: typeof FaultKind[keyof typeof FaultKind];
  readonly message: string;
  /**
   * `not-run` only if no byte of the request can have reached an upstream, or
   * if the upstream reported that it did not run the request.
   */
  readonly run: "not-run" | "unknown";
  /** Delay after which the request may be retried. */
  readonly retryAfter?: Milliseconds;
};

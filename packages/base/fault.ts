import type { FaultKind } from "./fault_kind.ts";
import type { Milliseconds } from "./milliseconds.ts";

/**
 * An error with a kind, and a message that names cause and remedy.
 *
 * @public
 */
export type Fault = {
  readonly kind: typeof FaultKind[keyof typeof FaultKind];
  readonly message: string;
  /**
   * `not-run` only where no byte of the request can have reached an upstream
   * or the upstream said so itself.
   */
  readonly run: "not-run" | "unknown";
  /** When to come back. */
  readonly retryAfter?: Milliseconds;
};

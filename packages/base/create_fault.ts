import type { Fault } from "./fault.ts";

/**
 * Creates a fault. Its `run` is `not-run` unless the options override it.
 *
 * @public
 * @example createFault("not_found", "No such model. Remedy: see /v1/models.")
 */
export function createFault(
  kind: Fault["kind"],
  message: string,
  options: Partial<Pick<Fault, "run" | "retryAfter">> = {},
): Fault {
  return { kind, message, run: "not-run", ...options };
}

import type { Fault } from "./fault.ts";

/**
 * Makes a fault. Without options it says that nothing was run.
 *
 * @public
 * @example createFault("not_found", "No such model. Remedy: ask /v1/models.")
 */
export function createFault(
  kind: Fault["kind"],
  message: string,
  options: Partial<Pick<Fault, "run" | "retryAfter">> = {},
): Fault {
  return { kind, message, run: "not-run", ...options };
}

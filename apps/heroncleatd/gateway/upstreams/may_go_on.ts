import { RouteKind } from "@heroncleat/serving";
import type { CallerRequest } from "../caller_request.ts";
import { findAvailability } from "./find_availability.ts";
import type { ForwardContext } from "../forward_context.ts";

/**
 * Whether another upstream could repeat a request, or go on with it, if the
 * current attempt broke off.
 */
export function mayGoOn(
  call: CallerRequest,
  { runs, ...options }: {
    readonly context: ForwardContext;
    /** Identifiers of upstreams that don't count. */
    readonly excluded: ReadonlySet<string>;
    /** The only software version that may run it; undefined if any. */
    readonly version: string | undefined;
    /** Attempts that may have run it, with the current one. */
    readonly runs: number;
  },
): boolean {
  const { route, relayedBy, service } = call;
  if (route.kind !== RouteKind.idempotent && !route.isResumable) {
    return false;
  }
  if (relayedBy !== undefined) {
    // The entry that passed it on tries again.
    return true;
  }
  return runs < route.maxAttempts &&
    options.context.retries.hasRetry(service) &&
    findAvailability(call, options).willing > 0;
}

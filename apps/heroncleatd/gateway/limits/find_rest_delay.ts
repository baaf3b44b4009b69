import type { Milliseconds } from "@heroncleat/base";
import type { CallerRequest } from "../caller_request.ts";
import { findAvailability } from "../upstreams/find_availability.ts";
import type { ForwardContext } from "../forward_context.ts";
import { retryAfterLimits } from "./retry_after_limits.ts";

type RestOptions = {
  readonly context: ForwardContext;
  /** Identifiers of upstreams that were already tried. */
  readonly excluded: ReadonlySet<string>;
  /** The only software version that may run the request; undefined if any. */
  readonly version: string | undefined;
  /** Monotonic time until which the request may wait for the end of a rest. */
  readonly restsUntil: Milliseconds;
};

/**
 * Assigns the caller the time to return if upstreams rest and none can run the
 * request in time; undefined if one can, or none rests. Nothing is sent to a
 * resting upstream to find out whether it serves again.
 */
export function findRestDelay(
  call: CallerRequest,
  { context, excluded, version, restsUntil }: RestOptions,
): Milliseconds | undefined {
  const { clock, statements } = context;
  const now = clock.steady();
  if (!statements.hasRests(now)) {
    return undefined;
  }
  const availabilityWithout = (tried: ReadonlySet<string>) =>
    findAvailability(call, { context, excluded: tried, version });
  const { availableAt, resting } = availabilityWithout(new Set());
  const ownAvailableAt = availabilityWithout(excluded).availableAt;
  if (resting === 0 || ownAvailableAt <= Math.max(now, restsUntil)) {
    return undefined;
  }
  const delay = context.returnTimesOf(call.service).assign({
    availableIn: Math.max(0, availableAt - now),
  }, now);
  return Math.max(retryAfterLimits.min, delay);
}

import type { Milliseconds } from "@heroncleat/base";
import type { Route } from "./route.ts";
import { RouteKind } from "./route_kind.ts";

/** Covers runs that last longer than all recent ones. */
const SAFETY_FACTOR = 1.1;
/** Larger, as an interrupted request that may not be retried is lost. */
const NON_IDEMPOTENT_SAFETY_FACTOR = 1.5;

/**
 * Time within which a request almost certainly completes.
 *
 * @param longest Estimated longest duration of such a request, if known.
 * @param timeLeft Time until the deadline of the request.
 *
 * @public
 */
export function requiredTime(
  route: Pick<Route, "kind">,
  { longest, timeLeft }: {
    longest: Milliseconds | undefined;
    timeLeft: Milliseconds;
  },
): Milliseconds {
  if (longest === undefined) {
    return timeLeft;
  }
  const isNonIdempotent = route.kind === RouteKind.nonIdempotent;
  return Math.min(
    longest * (isNonIdempotent ? NON_IDEMPOTENT_SAFETY_FACTOR : SAFETY_FACTOR),
    timeLeft,
  );
}

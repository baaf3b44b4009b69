import type { Milliseconds } from "@heroncleat/base";
import type { Route } from "./route.ts";
import { RouteKind } from "./route_kind.ts";

/** Runs last longer than any of the recent ones now and then. */
const MARGIN = 1.1;
/** A call that is cut and may not be repeated is lost for its caller. */
const SINGLE_MARGIN = 1.5;

/**
 * Time that a request needs to come to its end for sure, or nearly so.
 *
 * @param longest Longest time that runs like it took lately, if it is known.
 * @param timeLeft Time after which it is given up in any case.
 *
 * @public
 */
export function timeNeeded(
  route: Pick<Route, "kind">,
  { longest, timeLeft }: {
    longest: Milliseconds | undefined;
    timeLeft: Milliseconds;
  },
): Milliseconds {
  if (longest === undefined) {
    return timeLeft;
  }
  const isSingle = route.kind === RouteKind.nonIdempotent;
  return Math.min(longest * (isSingle ? SINGLE_MARGIN : MARGIN), timeLeft);
}

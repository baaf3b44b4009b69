import type { Milliseconds } from "@heroncleat/base";
import type { LongestRun } from "./longest_run.ts";
import type { Route } from "./route.ts";
import { RouteKind } from "./route_kind.ts";

/**
 * Exponent of the power law that bounds the tail of durations from above: a run
 * is twice as long as another bound with a sixteenth of its probability.
 */
const TAIL_EXPONENT = 4;
/** Tolerated probability that a run takes longer than the required time. */
const RISK = 1e-3;

/**
 * Time within which a request completes. For one that may be sent again or
 * resumed, but for a small probability: of n recent runs, the next one is longer
 * than the longest with a probability of 1 / (n + 1), whatever their
 * distribution; beyond it the tail is assumed to fall no slower than a power
 * law. For any other, only its deadline is certain.
 *
 * @param longest Longest of the recent runs of such requests, if known.
 * @param timeLeft Time until the deadline of the request.
 *
 * @public
 */
export function requiredTime(
  route: Pick<Route, "kind" | "isResumable">,
  { longest, timeLeft }: {
    longest: LongestRun | undefined;
    timeLeft: Milliseconds;
  },
): Milliseconds {
  const mayBeRepeated = route.kind === RouteKind.idempotent ||
    route.isResumable;
  if (longest === undefined || !mayBeRepeated) {
    return timeLeft;
  }
  const excess = 1 / (RISK * (longest.runCount + 1));
  const factor = Math.max(1, excess) ** (1 / TAIL_EXPONENT);
  return Math.min(longest.duration * factor, timeLeft);
}

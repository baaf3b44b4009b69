import type { VersionVerdict } from "./assess_version.ts";
import { sumSamples } from "./sum_samples.ts";
import type { RouteComparison } from "./version_report.ts";

const MIN_RESPONSES = 20;
const MAX_EXCESS_SHARE = 0.1;

/**
 * Baseline of `assessVersion`: compares the shares of failures over all routes
 * once there are enough responses.
 *
 * @internal
 */
export function compareShares(
  routes: Readonly<Record<string, RouteComparison>>,
): VersionVerdict {
  const all = Object.values(routes);
  const tested = sumSamples(all.map(({ destination }) => destination));
  const base = sumSamples(all.map(({ others }) => others));
  if (tested.answered < MIN_RESPONSES) {
    return { state: "undecided", reason: "too few responses" };
  }
  const excess = tested.failed / tested.answered -
    base.failed / Math.max(1, base.answered);
  return excess > MAX_EXCESS_SHARE
    ? { state: "bad", reason: "more failures than the other versions" }
    : { state: "good", reason: "as many failures as the other versions" };
}

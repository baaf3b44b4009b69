import type { BucketCounts, RouteSamples } from "./route_samples.ts";
import { sumSamples } from "./sum_samples.ts";
import { valueBuckets } from "./value_buckets.ts";
import type { RouteComparison } from "./version_report.ts";

/** Whether a new version is as good as the old one, and why. @public */
export type VersionVerdict = {
  readonly state: "good" | "bad" | "undecided";
  readonly reason: string;
};

/** A response is slow from this many buckets above the old median: 2.4 times. */
const SLOW_BUCKETS = 4;
/** Share of further bad responses that makes a version bad. */
const BAD_SHARE = 0.3;
/** Least share of bad responses that any version is taken to have. */
const MIN_BASE_SHARE = 0.02;
/** Responses and bad ones that are assumed before any of the old version. */
const PRIOR = { responses: 20, bad: 1 };
/** Log-likelihood ratio of a bad version: 1 in 10,000 good ones reaches it. */
const BAD_RATIO = Math.log(10_000);
/** Of a good version, over all routes: 1 in 100 bad ones reaches it. */
const GOOD_RATIO = Math.log(100);
/** Least responses on a main route, and the highest ratio of a test there. */
const MIN_ROUTE_RESPONSES = 5;
const MAX_ROUTE_RATIO = Math.log(3);
/** Share of the requests from which a route must be assessed by itself. */
const MAIN_ROUTE_SHARE = 0.05;

/** Bad responses among all. */
type Trials = { readonly bad: number; readonly all: number };

/**
 * Compares a new version with the others, which served at the same time, by
 * sequential probability ratio tests: one for failures and one for each kind of
 * time, on each route and over all.
 *
 * @public
 */
export function assessVersion(
  routes: Readonly<Record<string, RouteComparison>>,
): VersionVerdict {
  const all: RouteComparison = {
    destination: sumSamples(Object.values(routes).map((r) => r.destination)),
    others: sumSamples(Object.values(routes).map((r) => r.others)),
  };
  let isGood = true;
  for (const [route, comparison] of Object.entries(routes)) {
    const isMain = comparison.others.sent + comparison.destination.sent >=
      MAIN_ROUTE_SHARE * (all.others.sent + all.destination.sent);
    for (const [metric, ratio] of Object.entries(testRoute(comparison))) {
      if (ratio >= BAD_RATIO) {
        return { state: "bad", reason: `${metric} on route ${route}` };
      }
      isGood &&= !isMain || ratio < MAX_ROUTE_RATIO;
    }
    isGood &&= !isMain ||
      comparison.destination.answered >= MIN_ROUTE_RESPONSES;
  }
  const failures = logRatio(
    failureTrials(all.destination),
    failureTrials(all.others),
  );
  if (failures >= BAD_RATIO) {
    return { state: "bad", reason: "failures over all routes" };
  }
  isGood &&= failures <= -GOOD_RATIO;
  return isGood
    ? { state: "good", reason: "as good as the other versions" }
    : { state: "undecided", reason: "too few responses" };
}

/**
 * Log-likelihood ratios of "bad" against "as good as the others", without the
 * metrics that the others have no values of.
 */
function testRoute(
  { destination, others }: RouteComparison,
): Record<string, number> {
  const ratios: Record<string, number> = {
    failures: logRatio(failureTrials(destination), failureTrials(others)),
  };
  const times = {
    "late first bytes": [destination.firstByte, others.firstByte],
    "late responses": [destination.total, others.total],
  } as const;
  for (const [metric, [tested, base]] of Object.entries(times)) {
    const median = valueBuckets.median(base);
    if (median !== undefined) {
      const first = median + SLOW_BUCKETS;
      ratios[metric] = logRatio(
        slowTrials(tested, first),
        slowTrials(base, first),
      );
    }
  }
  return ratios;
}

function failureTrials({ failed, answered }: RouteSamples): Trials {
  return { bad: failed, all: answered };
}

/** Times from a bucket on, among all. */
function slowTrials(counts: BucketCounts, first: number): Trials {
  return {
    bad: valueBuckets.countFrom(counts, first),
    all: valueBuckets.count(counts),
  };
}

function logRatio(tested: Trials, base: Trials): number {
  const baseShare = Math.max(
    MIN_BASE_SHARE,
    (base.bad + PRIOR.bad) / (base.all + PRIOR.responses),
  );
  const badShare = baseShare + (1 - baseShare) * BAD_SHARE;
  return tested.bad * Math.log(badShare / baseShare) +
    (tested.all - tested.bad) * Math.log((1 - badShare) / (1 - baseShare));
}

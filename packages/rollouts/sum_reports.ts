import { createRecord } from "@heroncleat/base";
import type { RouteComparison, VersionReport } from "./version_report.ts";
import { sumSamples } from "./sum_samples.ts";

/** Adds up the reports of all entries about one rollout, by route. @public */
export function sumReports(
  reports: readonly VersionReport[],
): Record<string, RouteComparison> {
  const byRoute = new Map<string, RouteComparison[]>();
  for (const { routes } of reports) {
    for (const [route, comparison] of Object.entries(routes)) {
      const known = byRoute.get(route) ?? [];
      known.push(comparison);
      byRoute.set(route, known);
    }
  }
  const sums = createRecord<RouteComparison>();
  for (const [route, comparisons] of byRoute) {
    sums[route] = {
      destination: sumSamples(comparisons.map((each) => each.destination)),
      others: sumSamples(comparisons.map((each) => each.others)),
    };
  }
  return sums;
}

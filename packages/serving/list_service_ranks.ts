import type { ServiceRank } from "@heroncleat/shedding";
import { LOWEST_PRIORITY } from "./lowest_priority.ts";
import { RouteKind } from "./route_kind.ts";
import type { ServingDocument } from "./serving_document.ts";

/**
 * Lists the ranks of the requests that compete for each service: the priorities
 * of its streaming routes, and those of workspaces that override them.
 *
 * @public
 */
export function listServiceRanks(
  { routes, workspaces = [] }: Pick<ServingDocument, "routes" | "workspaces">,
): ServiceRank[] {
  const overrides = workspaces.map(({ priority }) => priority)
    .filter((priority) => priority !== undefined);
  const ranks: ServiceRank[] = [];
  for (const route of routes) {
    if (route.kind !== RouteKind.streaming) {
      continue;
    }
    const objective = route.latencyObjective;
    for (const { service } of route.targets) {
      for (const priority of new Set([route.priority, ...overrides])) {
        ranks.push({
          service,
          priority: Math.min(LOWEST_PRIORITY, priority),
          objective,
        });
      }
    }
  }
  return ranks;
}

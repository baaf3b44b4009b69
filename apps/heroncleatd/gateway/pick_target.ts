import type { Route } from "@heroncleat/serving";

/**
 * Selects a service of a route at random, by the weights of its targets.
 *
 * @param random A number from 0 to 1.
 */
export function pickTarget(route: Route, random: number): string {
  let total = 0;
  for (const target of route.targets) {
    total += target.weight;
  }
  let remaining = random * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target.service;
    }
  }
  return route.targets.at(-1)!.service;
}

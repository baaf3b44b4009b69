import type { LoadBalancingPolicy } from "./load_balancing_policy.ts";

/**
 * Baseline policy: takes the candidates in turn.
 *
 * @public
 */
export function createRoundRobinPolicy(): LoadBalancingPolicy {
  let turn = 0;
  return (candidates) => {
    turn += 1;
    return candidates[turn % candidates.length]!;
  };
}

import type { Candidate } from "./candidate.ts";
import type { LoadBalancingPolicy } from "./load_balancing_policy.ts";

/**
 * Baseline policy: the upstream with the lowest load per slot.
 *
 * @public
 */
export const chooseLeastLoaded: LoadBalancingPolicy = (candidates) => {
  const loadPerSlot = ({ upstream }: Candidate) =>
    upstream.expectedLoad() / upstream.announcement.slots;
  let leastLoaded = candidates[0]!;
  for (const candidate of candidates) {
    if (loadPerSlot(candidate) < loadPerSlot(leastLoaded)) {
      leastLoaded = candidate;
    }
  }
  return leastLoaded;
};

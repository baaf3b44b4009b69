import type { Candidate } from "./candidate.ts";
import type { LoadBalancingPolicy } from "./load_balancing_policy.ts";

/** Weights of the cost terms, in milliseconds of waiting per unit. */
type CostWeights = {
  /** Per prompt token that isn't cached at the upstream. */
  readonly token: number;
  /** For a full batch, which decodes more slowly and may queue. */
  readonly fullBatch: number;
  /** Expected cost of a reclaim, for an upstream on a reclaimable VM. */
  readonly reclaim: number;
  /** For the highest slot price among the candidates; 0 for a free VM. */
  readonly price: number;
};

/**
 * A running VM costs the same whether it is idle or busy, so the choice mainly
 * saves waiting and computation. The price only breaks ties.
 */
const WEIGHTS = {
  cost: { token: 0, fullBatch: 400, reclaim: 0, price: 10 },
  recompute: { token: 0.2, fullBatch: 400, reclaim: 10, price: 0 },
} as const satisfies Record<string, CostWeights>;

/**
 * Creates a policy that chooses the candidate with the lowest weighted cost
 * among those that meet the latency limits and have a free slot. If there is
 * none, it chooses the one with the shortest time to first token.
 *
 * @public
 */
export function createWeightedPolicy(
  weighting: keyof typeof WEIGHTS,
): LoadBalancingPolicy {
  const weights = WEIGHTS[weighting];
  return (candidates, limits) => {
    const meeting = candidates.filter((candidate) =>
      candidate.estimatedFirstToken <= limits.maxFirstToken &&
      candidate.upstream.decodeInterval <= limits.maxTokenInterval &&
      candidate.upstream.freeSlots() >= 1
    );
    if (meeting.length === 0) {
      return findLeast(candidates, latencyOf);
    }
    const highestPrice = Math.max(
      ...meeting.map(({ upstream }) => upstream.slotPrice()),
    );
    return findLeast(
      meeting,
      (candidate) => costOf(candidate, { weights, highestPrice }),
    );
  };
}

function findLeast(
  candidates: readonly Candidate[],
  measure: (candidate: Candidate) => number,
): Candidate {
  let least = candidates[0]!;
  let leastValue = measure(least);
  for (const candidate of candidates) {
    const value = measure(candidate);
    if (value < leastValue) {
      least = candidate;
      leastValue = value;
    }
  }
  return least;
}

function latencyOf(candidate: Candidate): number {
  return candidate.estimatedFirstToken;
}

function costOf(
  candidate: Candidate,
  options: { weights: CostWeights; highestPrice: number },
): number {
  const { weights, highestPrice } = options;
  const { upstream, estimatedFirstToken, uncachedTokens } = candidate;
  const { slots, vmClass } = upstream.announcement;
  // Squared, so that the last free slots of a batch are the most expensive.
  const fullness = ((upstream.expectedLoad() + 1) / slots) ** 2;
  const reclaim = vmClass === "reclaimable" ? weights.reclaim : 0;
  return estimatedFirstToken + uncachedTokens * weights.token +
    fullness * weights.fullBatch + reclaim +
    upstream.slotPrice() / Math.max(highestPrice, Number.EPSILON) *
      weights.price;
}

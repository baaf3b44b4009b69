import type { Candidate } from "./candidate.ts";
import type { CandidateChoice } from "./candidate_choice.ts";

/** What one unit of each concern is worth, in milliseconds of waiting. */
type ChoiceWeights = {
  /** A token that has to be computed although another upstream has it. */
  readonly token: number;
  /** A batch that is wholly full: it decodes slower and may queue. */
  readonly fullBatch: number;
  /** The expected cost of a reclaim while the request runs. */
  readonly reclaim: number;
  /** The whole difference between the dearest and a free VM. */
  readonly price: number;
};

/**
 * A VM that is held costs the same whether it works or not, so what a choice
 * can save is waiting and computing; price only decides between equals.
 */
const WEIGHTS = {
  cost: { token: 0, fullBatch: 400, reclaim: 0, price: 10 },
  recompute: { token: 0.2, fullBatch: 400, reclaim: 10, price: 0 },
} as const satisfies Record<string, ChoiceWeights>;

/**
 * Among upstreams that meet the latency target, the one where least is lost
 * by the weighting; when none meets it, the fastest.
 *
 * @public
 */
export function chooseWeighted(
  weighting: keyof typeof WEIGHTS,
): CandidateChoice {
  const weights = WEIGHTS[weighting];
  return (candidates, limits) => {
    const meeting = candidates.filter((candidate) =>
      candidate.firstToken <= limits.firstToken &&
      candidate.upstream.decodeInterval <= limits.betweenTokens &&
      candidate.upstream.freeSlots() >= 1
    );
    if (meeting.length === 0) {
      return findLeast(candidates, latencyOf);
    }
    const dearest = Math.max(
      ...meeting.map(({ upstream }) => upstream.slotPrice()),
    );
    return findLeast(
      meeting,
      (candidate) => lossOf(candidate, { weights, dearest }),
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
  return candidate.firstToken;
}

function lossOf(
  candidate: Candidate,
  options: { weights: ChoiceWeights; dearest: number },
): number {
  const { weights, dearest } = options;
  const { upstream, firstToken, uncachedTokens } = candidate;
  const { slots, vmClass } = upstream.announcement;
  // Squared, so that the last free slots of a batch weigh most.
  const fullness = ((upstream.expectedLoad() + 1) / slots) ** 2;
  const reclaim = vmClass === "reclaimable" ? weights.reclaim : 0;
  return firstToken + uncachedTokens * weights.token +
    fullness * weights.fullBatch + reclaim +
    upstream.slotPrice() / Math.max(dearest, Number.EPSILON) * weights.price;
}

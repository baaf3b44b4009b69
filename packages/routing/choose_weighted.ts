import type { Candidate } from "./candidate.ts";
import type { CandidateChoice } from "./candidate_choice.ts";

/** Tokens that the reclaim of an upstream is expected to cost a request. */
const RECLAIM_TOKENS = 64;

/**
 * Among upstreams that meet the latency target: the cheapest, or the one that
 * computes the fewest tokens again. When none meets it, the fastest.
 *
 * @public
 */
export function chooseWeighted(
  weighting: "cost" | "recompute",
): CandidateChoice {
  const compare = weighting === "cost" ? compareCost : compareTokens;
  return (candidates, limits) => {
    const meeting = candidates.filter((candidate) =>
      candidate.firstToken <= limits.firstToken &&
      candidate.upstream.announcement.decodeInterval <= limits.betweenTokens &&
      candidate.upstream.freeSlots() > 0
    );
    if (meeting.length === 0) {
      return best(candidates, compareLatency);
    }
    return best(meeting, compare);
  };
}

function best(
  candidates: readonly Candidate[],
  compare: (left: Candidate, right: Candidate) => number,
): Candidate {
  let chosen = candidates[0]!;
  for (const candidate of candidates) {
    if (compare(candidate, chosen) < 0) {
      chosen = candidate;
    }
  }
  return chosen;
}

function compareCost(left: Candidate, right: Candidate): number {
  return left.upstream.slotPrice() - right.upstream.slotPrice() ||
    left.uncachedTokens - right.uncachedTokens ||
    compareLatency(left, right);
}

function compareTokens(left: Candidate, right: Candidate): number {
  return expectedTokens(left) - expectedTokens(right) ||
    left.upstream.slotPrice() - right.upstream.slotPrice() ||
    compareLatency(left, right);
}

function expectedTokens(candidate: Candidate): number {
  const { vmClass } = candidate.upstream.announcement;
  const risk = vmClass === "reclaimable" ? RECLAIM_TOKENS : 0;
  return candidate.uncachedTokens + risk;
}

function compareLatency(left: Candidate, right: Candidate): number {
  return left.firstToken - right.firstToken ||
    left.upstream.running - right.upstream.running;
}

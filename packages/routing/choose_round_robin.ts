import type { CandidateChoice } from "./candidate_choice.ts";

/** Baseline: one upstream after the other. @public */
export function chooseRoundRobin(): CandidateChoice {
  let turn = 0;
  return (candidates) => {
    turn += 1;
    return candidates[turn % candidates.length]!;
  };
}

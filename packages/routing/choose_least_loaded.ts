import type { Candidate } from "./candidate.ts";
import type { CandidateChoice } from "./candidate_choice.ts";

/** Baseline: the upstream with the lowest load for its size. @public */
export const chooseLeastLoaded: CandidateChoice = (candidates) => {
  const share = ({ upstream }: Candidate) =>
    upstream.expectedLoad() / upstream.announcement.slots;
  let chosen = candidates[0]!;
  for (const candidate of candidates) {
    if (share(candidate) < share(chosen)) {
      chosen = candidate;
    }
  }
  return chosen;
};

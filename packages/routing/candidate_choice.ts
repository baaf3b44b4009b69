import type { Milliseconds } from "@heroncleat/base";
import type { Candidate } from "./candidate.ts";

/** Chooses among the candidates, of which there is at least one. @public */
export type CandidateChoice = (
  candidates: readonly Candidate[],
  limits: { firstToken: Milliseconds; betweenTokens: Milliseconds },
) => Candidate;

import type { Milliseconds } from "@heroncleat/base";
import type { Candidate } from "./candidate.ts";

/**
 * Chooses one of the candidates, which must not be empty. The limits are the
 * highest acceptable time to the first token and time between tokens.
 *
 * @public
 */
export type LoadBalancingPolicy = (
  candidates: readonly Candidate[],
  limits: { maxFirstToken: Milliseconds; maxTokenInterval: Milliseconds },
) => Candidate;

import type { Milliseconds } from "@heroncleat/base";
import type { ChosenUpstream } from "./chosen_upstream.ts";

/**
 * Limits the prefill of a request, its time and tokens, to the time that it has
 * left. Callers state the length of prompts, so that one may seem to take years.
 *
 * @public
 */
export function limitPrefill(
  chosen: ChosenUpstream,
  { timeLeft }: { timeLeft: Milliseconds },
): ChosenUpstream {
  const readTime = Math.min(chosen.readTime, Math.max(0, timeLeft));
  if (readTime === chosen.readTime) {
    return chosen;
  }
  const share = readTime / chosen.readTime;
  const referencePrefillTime = chosen.referencePrefillTime * share;
  return {
    ...chosen,
    uncachedTokens: chosen.uncachedTokens * share,
    readTime,
    referencePrefillTime,
    isLengthPlausible: false,
  };
}

import type { Milliseconds } from "@heroncleat/base";
import type { Offer } from "./offer.ts";
import { sheddingTimes } from "./shedding_times.ts";

/**
 * Longest wait at which a request still meets its own objective.
 *
 * @param errorMargin Time by which estimates are too low beyond the overhead.
 * @internal
 */
export function objectiveLimit(
  { objectiveLeft, prefillTime }: Pick<Offer, "objectiveLeft" | "prefillTime">,
  errorMargin: Milliseconds,
): Milliseconds {
  const { maxPrefillShare, firstTokenOverhead, minQueue } = sheddingTimes;
  const cappedPrefillTime = Math.min(
    prefillTime,
    objectiveLeft * maxPrefillShare,
  );
  return Math.max(
    minQueue,
    objectiveLeft - cappedPrefillTime - firstTokenOverhead - errorMargin,
  );
}

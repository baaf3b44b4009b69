import type { Milliseconds } from "@heroncleat/base";
import type { ChosenUpstream } from "./chosen_upstream.ts";
import type { FinishedRun } from "./finished_run.ts";

/**
 * Time for which a request held a slot of its upstream; undefined if that can't
 * be told from the time it waited for the slot.
 *
 * @internal
 */
export function slotTimeOf(
  { waiting, readTime, hasOnlyPrefillDelay, isLengthPlausible }: ChosenUpstream,
  { took, firstTokenAfter }: FinishedRun,
): Milliseconds | undefined {
  if (!isLengthPlausible) {
    return undefined;
  }
  if (firstTokenAfter !== undefined) {
    return took - firstTokenAfter + readTime;
  }
  return hasOnlyPrefillDelay ? Math.max(0, took - waiting) : undefined;
}

import type { Outcome } from "./outcome.ts";

/** Share of the outcomes that are of the given kinds. */
export function shareOf(
  outcomes: readonly Outcome[],
  ...kinds: readonly Outcome["kind"][]
): number {
  const count = outcomes.filter(({ kind }) => kinds.includes(kind)).length;
  return count / Math.max(1, outcomes.length);
}

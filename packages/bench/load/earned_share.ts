import type { Outcome } from "./outcome.ts";

/** Benefit of the outcomes as a share of that with all requests on time. */
export function earnedShare(outcomes: readonly Outcome[]): number {
  let earned = 0;
  let owed = 0;
  for (const { request: { kind }, kind: outcome } of outcomes) {
    owed += kind.benefitOnTime;
    earned += outcome === "on_time"
      ? kind.benefitOnTime
      : outcome === "late"
      ? kind.benefitLate
      : 0;
  }
  return earned / owed;
}

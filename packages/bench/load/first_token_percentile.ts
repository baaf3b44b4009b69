import type { Milliseconds } from "@heroncleat/base";
import type { Outcome } from "./outcome.ts";
import { percentile } from "./percentile.ts";

/** Percentile of the times to first token of one kind. */
export function firstTokenPercentile(
  outcomes: readonly Outcome[],
  kind: string,
  share: number,
): Milliseconds {
  const times = outcomes
    .filter(({ request }) => request.kind.name === kind)
    .flatMap(({ firstToken }) => firstToken ?? []);
  return percentile(times, share);
}

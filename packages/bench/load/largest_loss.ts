import type { Outcome } from "./outcome.ts";
import { shareOf } from "./share_of.ts";
import { WORKSPACE_SHARES } from "./workspace_shares.ts";

/**
 * By how much the on-time share of a workspace is lower in a surge of the
 * largest one, for the one that loses most.
 */
export function largestLoss(
  usual: readonly Outcome[],
  surge: readonly Outcome[],
): number {
  const onTime = (outcomes: readonly Outcome[], workspace: number) =>
    shareOf(
      outcomes.filter(({ request }) => request.workspace === workspace),
      "on_time",
    );
  const losses = WORKSPACE_SHARES.map((_, workspace) =>
    onTime(usual, workspace) - onTime(surge, workspace)
  );
  return Math.max(...losses.slice(1));
}

import {
  fixedCosts,
  overloadRetryDelay,
  UpstreamBalancer,
  UpstreamStatements,
} from "@heroncleat/serving";
import { BalancedEntry } from "./balanced_entry.ts";
import type { DecisionContext } from "./decision_set.ts";
import { LoadReplica } from "./load_replica.ts";

/** Decisions of commit 4525aeb. */
export function createEarlierEntries(
  context: DecisionContext,
): BalancedEntry[] {
  const replica = new LoadReplica();
  const entries = Array.from(
    { length: context.load.entries },
    (_, index) =>
      new BalancedEntry({
        index,
        context,
        replica,
        balancer: new UpstreamBalancer({
          statements: new UpstreamStatements(context.random),
          costs: fixedCosts,
        }),
        shed: ({ attemptedAt, kind }, chosen, now) =>
          overloadRetryDelay({
            waiting: chosen.waiting,
            prefillTime: chosen.readTime,
            objective: attemptedAt + kind.objective - now,
            isPrefillSpeedKnown: chosen.isPrefillSpeedKnown,
          }),
      }),
  );
  for (const entry of entries) {
    entry.others = entries.filter((other) => other !== entry);
  }
  return entries;
}

import { UpstreamBalancer, UpstreamStatements } from "@heroncleat/serving";
import { LoadShedder } from "@heroncleat/shedding";
import { BalancedEntry } from "./balanced_entry.ts";
import type { DecisionContext } from "./decision_set.ts";
import { DemandTotals } from "./demand_totals.ts";
import { LoadReplica } from "./load_replica.ts";

/** The product's decisions. */
export function createProductEntries(
  context: DecisionContext,
): BalancedEntry[] {
  const { load, random } = context;
  const replica = new LoadReplica();
  const totals = new DemandTotals();
  const entries = Array.from({ length: load.entries }, (_, index) => {
    const shedder = new LoadShedder({ random });
    shedder.setRanks(load.kinds.map(({ service, rank, objective }) => ({
      service,
      priority: rank,
      objective,
    })));
    return new BalancedEntry({
      index,
      context,
      replica,
      balancer: new UpstreamBalancer({
        statements: new UpstreamStatements(random),
      }),
      shed: ({ arrivedAt, kind, workspace }, chosen, now) => {
        const decision = shedder.decide({
          service: kind.service,
          priority: kind.rank,
          workspace: `workspace-${workspace}`,
          objectiveLeft: arrivedAt + kind.objective - now,
          timeLeft: arrivedAt + kind.timeBudget - now,
          waiting: chosen.waiting,
          prefillTime: chosen.readTime,
          isPrefillSpeedKnown: chosen.isPrefillSpeedKnown,
        }, now);
        return decision.kind === "refused" ? decision.retryAfter : undefined;
      },
      recordFirstToken: (chosen, took, now) =>
        shedder.recordFirstToken({
          service: chosen.upstream.record.service,
          expected: chosen.expectedFirstTokenTime,
          took,
        }, now),
      exchange: (now) => {
        const sums = totals.exchange(index, shedder.report(now), now);
        if (sums !== undefined) {
          shedder.applyTotals(sums, now);
        }
      },
    });
  });
  for (const entry of entries) {
    entry.others = entries.filter((other) => other !== entry);
  }
  return entries;
}

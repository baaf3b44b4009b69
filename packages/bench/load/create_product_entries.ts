import { UpstreamBalancer, UpstreamStatements } from "@heroncleat/serving";
import { LoadShedder, type RankLimit } from "@heroncleat/shedding";
import { BalancedEntry } from "./balanced_entry.ts";
import type { DecisionContext } from "./decision_set.ts";
import { DemandExchange } from "./demand_exchange.ts";
import { LoadReplica } from "./load_replica.ts";

/**
 * The product's decisions.
 *
 * @param rankLimit Another way to derive the wait limit of a less urgent rank.
 */
export function createProductEntries(
  context: DecisionContext,
  rankLimit?: RankLimit,
): BalancedEntry[] {
  const { load, random } = context;
  const replica = new LoadReplica();
  const demand = new DemandExchange();
  const entries = Array.from({ length: load.entries }, (_, index) => {
    const shedder = new LoadShedder(
      rankLimit === undefined ? { random } : { random, rankLimit },
    );
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
      shed: ({ attemptedAt, kind, workspace }, chosen, now) => {
        const decision = shedder.decide({
          service: kind.service,
          priority: kind.rank,
          workspace: `workspace-${workspace}`,
          objectiveLeft: attemptedAt + kind.objective - now,
          timeLeft: attemptedAt + kind.timeBudget - now,
          waiting: chosen.waiting,
          prefillTime: chosen.readTime,
          isPrefillSpeedKnown: chosen.isPrefillSpeedKnown,
          isRepeated: attemptedAt < now,
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
        const sums = demand.exchange(index, shedder.report(now), now);
        shedder.applyTotals(sums ?? {}, now);
      },
    });
  });
  for (const entry of entries) {
    entry.others = entries.filter((other) => other !== entry);
  }
  return entries;
}

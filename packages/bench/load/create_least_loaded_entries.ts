import type { UpstreamLoad } from "@heroncleat/serving";
import type { DecisionContext } from "./decision_set.ts";
import type { EntryDecisions } from "./entry_decisions.ts";
import { LoadReplica } from "./load_replica.ts";
import type { OfferedRequest } from "./offered_request.ts";

/**
 * Entries that choose the upstream with the fewest requests: their own ones,
 * and those of the others as of the last exchange. They refuse nothing.
 */
export function createLeastLoadedEntries(
  { load, random, upstreams }: DecisionContext,
): EntryDecisions[] {
  const replica = new LoadReplica();
  return Array.from({ length: load.entries }, (_, index) => {
    const own = new Map<string, number>();
    const sentTo = new Map<number, string>();
    let others: Record<string, UpstreamLoad> = {};
    const count = (id: string) =>
      (own.get(id) ?? 0) + (others[id]?.requests ?? 0);
    return {
      decide: (request: OfferedRequest) => {
        // Upstreams with equally many requests are chosen at random.
        const [least] = upstreams().map(({ record: { id } }) => ({
          id,
          requests: count(id) + random(),
        })).sort((left, right) => left.requests - right.requests);
        const upstream = least!.id;
        own.set(upstream, (own.get(upstream) ?? 0) + 1);
        sentTo.set(request.id, upstream);
        return { kind: "sent", upstream, expected: 0 };
      },
      recordFirstToken: () => {},
      recordEnd: ({ id }: OfferedRequest) => {
        const upstream = sentTo.get(id)!;
        own.set(upstream, own.get(upstream)! - 1);
        sentTo.delete(id);
      },
      exchange: () => {
        const loads = [...own].map(([id, requests]) =>
          [id, { requests, backlog: 0 }] as const
        );
        others = replica.exchangeLoads(index, Object.fromEntries(loads));
      },
    };
  });
}

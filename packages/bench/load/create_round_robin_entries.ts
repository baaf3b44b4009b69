import type { DecisionContext } from "./decision_set.ts";
import type { EntryDecisions } from "./entry_decisions.ts";

/** Entries that send to one upstream after the other and refuse nothing. */
export function createRoundRobinEntries(
  { load, upstreams }: DecisionContext,
): EntryDecisions[] {
  return Array.from({ length: load.entries }, (_, index) => {
    let turn = index;
    return {
      decide: () => {
        turn += 1;
        const known = upstreams();
        const upstream = known[turn % known.length]!.record.id;
        return { kind: "sent", upstream, expected: 0 };
      },
      recordFirstToken: () => {},
      recordEnd: () => {},
      exchange: () => {},
    };
  });
}

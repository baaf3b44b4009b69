import { Ceiling } from "./ceiling.ts";
import type { DecisionContext } from "./decision_set.ts";

/** Entries that share one ceiling. */
export function createCeilingEntries(context: DecisionContext): Ceiling[] {
  const ceiling = new Ceiling(context);
  return Array.from({ length: context.load.entries }, () => ceiling);
}

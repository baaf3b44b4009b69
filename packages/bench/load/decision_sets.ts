import { createCeilingEntries } from "./create_ceiling_entries.ts";
import { createEarlierEntries } from "./create_earlier_entries.ts";
import { createLeastLoadedEntries } from "./create_least_loaded_entries.ts";
import { createRoundRobinEntries } from "./create_round_robin_entries.ts";
import { createProductEntries } from "./create_product_entries.ts";
import type { DecisionSet } from "./decision_set.ts";

/** The sets of decisions that are compared. */
export const DECISION_SETS: readonly DecisionSet[] = [
  { name: "product", createEntries: createProductEntries },
  { name: "earlier", createEntries: createEarlierEntries },
  { name: "least loaded", createEntries: createLeastLoadedEntries },
  { name: "round robin", createEntries: createRoundRobinEntries },
  { name: "ceiling", createEntries: createCeilingEntries },
];

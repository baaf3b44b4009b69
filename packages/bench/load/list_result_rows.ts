import type { Load } from "./load.ts";
import type { Outcome } from "./outcome.ts";
import type { ResultRow } from "./result_row.ts";

const GROUPS = {
  all: () => true,
  largest: (workspace: number) => workspace === 0,
  others: (workspace: number) => workspace !== 0,
} as const;

/** Counts the outcomes of a play by kind and group of workspaces. */
export function listResultRows<Details extends object>(
  row: string,
  { load, outcomes, detail }: {
    load: Load;
    outcomes: readonly Outcome[];
    /** Further figures of the outcomes of a row. */
    detail: (counted: readonly Outcome[]) => Details;
  },
): (ResultRow & Details)[] {
  const rows: (ResultRow & Details)[] = [];
  for (const { name, rank } of load.kinds) {
    for (const workspaces of ["all", "largest", "others"] as const) {
      const counted = outcomes.filter(({ request }) =>
        request.kind.name === name && GROUPS[workspaces](request.workspace)
      );
      const count = (kind: Outcome["kind"]) =>
        counted.filter((outcome) => outcome.kind === kind).length;
      rows.push({
        row,
        kind: name,
        rank,
        workspaces,
        sent: counted.length,
        on_time: count("on_time"),
        late: count("late"),
        refused: count("refused"),
        lost: count("lost"),
        ...detail(counted),
      });
    }
  }
  return rows;
}

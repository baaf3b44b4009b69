import type { LoadRow } from "./load_row.ts";
import { listResultRows } from "./list_result_rows.ts";
import type { Outcome } from "./outcome.ts";
import { percentile } from "./percentile.ts";

/** One JSON line for each play, kind and group of workspaces. */
export function listJsonLines(
  rows: readonly LoadRow[],
  benchmark: "competition" | "uneven",
): string[] {
  return rows.flatMap(({ load, decisions, plays }) =>
    [...plays].flatMap(([seed, { outcomes, readAgainTokens, memoryShare }]) => {
      const detail = (counted: readonly Outcome[]) => {
        const times = counted.flatMap(({ firstToken }) => firstToken ?? []);
        return {
          first_p50_ms: percentile(times, 0.5),
          first_p95_ms: percentile(times, 0.95),
          read_again: readAgainTokens,
          memory: memoryShare,
        };
      };
      return listResultRows(`${load.name}, ${decisions}, seed ${seed}`, {
        load,
        outcomes,
        detail: benchmark === "uneven" ? detail : () => ({}),
      }).map((row) => JSON.stringify(row));
    })
  );
}

import { formatTable } from "../report/format_table.ts";
import { earnedShare } from "./earned_share.ts";
import { listResultRows } from "./list_result_rows.ts";
import type { Load } from "./load.ts";
import { percentile } from "./percentile.ts";
import type { PlayResult } from "./play_result.ts";

/** Formats what the callers of one play got. */
export function reportPlay(load: Load, result: PlayResult): string {
  const rows = listResultRows(load.name, {
    load,
    outcomes: result.outcomes,
    detail: (counted) => {
      const firstTokens = counted.flatMap(({ firstToken }) => firstToken ?? []);
      const errors = counted.flatMap(({ estimateError }) =>
        estimateError ?? []
      );
      return {
        percentiles: [
          percentile(firstTokens, 0.5),
          percentile(firstTokens, 0.95),
          percentile(errors, 0.5),
          percentile(errors, 0.95),
        ],
      };
    },
  }).map((row) => {
    const share = (count: number) => (count / Math.max(1, row.sent)).toFixed(3);
    return [
      row.kind,
      row.workspaces,
      row.sent,
      share(row.on_time),
      share(row.late),
      share(row.refused),
      share(row.lost),
      ...row.percentiles.map((value) => value.toFixed(0)),
    ];
  });
  return [
    formatTable([
      "kind",
      "workspaces",
      "sent",
      "on time",
      "late",
      "refused",
      "lost",
      "first p50 ms",
      "first p95 ms",
      "estimate off p50 ms",
      "estimate off p95 ms",
    ], rows),
    "",
    `earned ${earnedShare(result.outcomes).toFixed(3)}, ` +
    `unused ${result.unusedShare.toFixed(3)}, ` +
    `read again ${result.readAgainTokens}, ` +
    `memory ${result.memoryShare.toFixed(2)}`,
  ].join("\n");
}

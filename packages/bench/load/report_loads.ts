import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { drawBarChart } from "../report/draw_bar_chart.ts";
import { formatTable } from "../report/format_table.ts";
import { DECISION_SETS } from "./decision_sets.ts";
import { earnedShare } from "./earned_share.ts";
import { firstTokenPercentile } from "./first_token_percentile.ts";
import { LOAD_TARGETS } from "./load_targets.ts";
import type { LoadRow } from "./load_row.ts";
import type { LoadTarget } from "./load_target.ts";
import type { Outcome } from "./outcome.ts";
import { shareOf } from "./share_of.ts";

/** Prints the tables of a benchmark of loads and draws its plot. */
export function reportLoads(
  rows: readonly LoadRow[],
  { benchmark, plotsFolder, print }: {
    benchmark: keyof typeof LOAD_TARGETS;
    plotsFolder: string;
    print: (text: string) => void;
  },
): void {
  print("Benefit earned, as a share of that with all requests on time:\n");
  print(formatEarned(rows));
  print("\nFigures with a slash are of the kinds in order of rank:\n");
  print(formatTable([
    "load",
    "decisions",
    "on time",
    "on time, others than the largest",
    "late",
    "refused",
    "lost",
    "first p50 ms",
    "first p95 ms",
    "unused",
    "read again",
    "memory",
  ], rows.map(formatRow)));
  print("\n### Targets\n");
  print(formatTable(
    ["target", "bound", "measured", "result"],
    LOAD_TARGETS[benchmark].map((target) => formatTarget(target, rows)),
  ));
  writeFileSync(
    join(plotsFolder, `${benchmark}.svg`),
    drawEarned(rows, benchmark),
  );
}

function formatEarned(rows: readonly LoadRow[]): string {
  const loads = [...new Set(rows.map(({ load }) => load.name))];
  return formatTable(
    ["load", ...DECISION_SETS.map(({ name }) => name)],
    loads.map((load) => [
      load,
      ...rows.filter((row) => row.load.name === load)
        .map(({ result }) => earnedShare(result.outcomes).toFixed(3)),
    ]),
  );
}

function formatRow({ load, decisions, result }: LoadRow): string[] {
  const { outcomes } = result;
  const byKind = (measure: (counted: Outcome[], kind: string) => string) =>
    load.kinds.map(({ name }) =>
      measure(
        outcomes.filter(({ request }) => request.kind.name === name),
        name,
      )
    ).join(" / ");
  const shares = (...kinds: readonly Outcome["kind"][]) =>
    byKind((counted) => shareOf(counted, ...kinds).toFixed(3));
  const firstTokens = (share: number) =>
    byKind((counted, kind) =>
      firstTokenPercentile(counted, kind, share).toFixed(0)
    );
  return [
    load.name,
    decisions,
    shares("on_time"),
    byKind((counted) =>
      shareOf(
        counted.filter(({ request }) => request.workspace !== 0),
        "on_time",
      ).toFixed(3)
    ),
    shares("late"),
    shares("refused"),
    shares("lost"),
    firstTokens(0.5),
    firstTokens(0.95),
    result.unusedShare.toFixed(3),
    String(result.readAgainTokens),
    result.memoryShare.toFixed(2),
  ];
}

function formatTarget(
  { name, bound, direction, measure }: LoadTarget,
  rows: readonly LoadRow[],
): string[] {
  const measured = measure(rows);
  const isMet = direction === "at least"
    ? measured >= bound
    : measured <= bound;
  return [
    name,
    `${direction} ${bound}`,
    String(Number(measured.toFixed(3))),
    isMet ? "met" : "missed",
  ];
}

function drawEarned(rows: readonly LoadRow[], benchmark: string): string {
  const loads = [...new Set(rows.map(({ load }) => load))];
  return drawBarChart({
    title: `${benchmark}: benefit earned`,
    unit: "share of that with all requests on time",
    groups: loads.map(({ label }) => label),
    series: DECISION_SETS.map(({ name }) => ({
      name,
      values: rows.filter(({ decisions }) => decisions === name)
        .map(({ result }) => earnedShare(result.outcomes)),
    })),
  });
}

import { DECISION_SETS } from "./decision_sets.ts";
import { listJsonLines } from "./list_json_lines.ts";
import type { Load } from "./load.ts";
import { LOADS } from "./loads.ts";
import { playRows } from "./play_rows.ts";
import { reportLoads } from "./report_loads.ts";
import { reportPlay } from "./report_play.ts";

const SEEDS = [1, 2];

type RunOptions = {
  readonly benchmark: keyof typeof LOADS;
  /** Select one load, set of decisions or seed; undefined for all. */
  readonly load: string | undefined;
  readonly decisions: string | undefined;
  readonly seed: string | undefined;
  readonly isJson: boolean;
  readonly plotsFolder: string;
  readonly print: (text: string) => void;
};

/** Plays loads and prints what callers got. */
export function runLoads(options: RunOptions): void {
  const { benchmark, print, plotsFolder } = options;
  const allLoads: readonly Load[] = LOADS[benchmark];
  const rows = playRows({
    loads: select(allLoads, options.load),
    sets: select(DECISION_SETS, options.decisions),
    seeds: options.seed === undefined ? SEEDS : [Number(options.seed)],
  });
  if (options.isJson) {
    for (const line of listJsonLines(rows, benchmark)) {
      print(line);
    }
    return;
  }
  if (options.load === undefined && options.decisions === undefined) {
    reportLoads(rows, { benchmark, plotsFolder, print });
    return;
  }
  for (const { load, decisions, plays } of rows) {
    for (const [seed, result] of plays) {
      print(`\n### ${load.name}, ${decisions}, seed ${seed}\n`);
      print(reportPlay(load, result));
    }
  }
}

/** The item with a name; all if none is named. */
function select<Item extends { readonly name: string }>(
  items: readonly Item[],
  name: string | undefined,
): readonly Item[] {
  const selected = items.filter((item) =>
    name === undefined || item.name === name
  );
  if (selected.length === 0) {
    throw new Error(
      `There is no "${name}". Remedy: use one of ${
        items.map((item) => `"${item.name}"`).join(", ")
      }.`,
    );
  }
  return selected;
}

import type { DecisionSet } from "./decision_set.ts";
import type { Load } from "./load.ts";
import type { LoadRow } from "./load_row.ts";
import { playLoad } from "./play_load.ts";
import type { PlayResult } from "./play_result.ts";

/** Plays each load with each set of decisions and each seed. */
export function playRows(
  { loads, sets, seeds }: {
    loads: readonly Load[];
    sets: readonly DecisionSet[];
    seeds: readonly number[];
  },
): LoadRow[] {
  return loads.flatMap((load) =>
    sets.map((decisions) => {
      const plays = new Map(
        seeds.map((seed) => [seed, playLoad({ load, decisions, seed })]),
      );
      return {
        load,
        decisions: decisions.name,
        plays,
        result: mergeResults([...plays.values()]),
      };
    })
  );
}

function mergeResults(results: readonly PlayResult[]): PlayResult {
  const sum = (read: (result: PlayResult) => number) =>
    results.reduce((total, result) => total + read(result), 0);
  return {
    outcomes: results.flatMap(({ outcomes }) => outcomes),
    unusedShare: sum(({ unusedShare }) => unusedShare) / results.length,
    readAgainTokens: sum(({ readAgainTokens }) => readAgainTokens),
    memoryShare: Math.max(...results.map(({ memoryShare }) => memoryShare)),
  };
}

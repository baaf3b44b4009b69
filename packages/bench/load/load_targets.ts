import { earnedShare } from "./earned_share.ts";
import { firstTokenPercentile } from "./first_token_percentile.ts";
import { largestLoss } from "./largest_loss.ts";
import type { LoadRow } from "./load_row.ts";
import type { LoadTarget } from "./load_target.ts";
import type { Outcome } from "./outcome.ts";
import { shareOf } from "./share_of.ts";

const TEN_LOST = "10 of 14 lost";
const EIGHT_LOST = "8 of 14 lost";
const NINE_LOST = "15 % slow, 9 of 12 lost";
const SURGE = ", surge of a workspace";
const ROOM = "room for all";
const MEMORY_SHORT = "memory short";

/** Targets of docs/UNDER_LOAD.md, by benchmark. */
export const LOAD_TARGETS = {
  competition: [
    {
      name: "10 of 14 lost: most urgent kind on time",
      bound: 0.97,
      direction: "at least",
      measure: (rows) =>
        shareOf(ofRank(find(rows, TEN_LOST, "product"), 0), "on_time"),
    },
    {
      name: "10 of 14 lost: other kind on time",
      bound: 0.25,
      direction: "at least",
      measure: (rows) =>
        shareOf(ofRank(find(rows, TEN_LOST, "product"), 2), "on_time"),
    },
    {
      name: "10 of 14 lost: benefit earned, of the ceiling's",
      bound: 0.95,
      direction: "at least",
      measure: (rows) =>
        earnedShare(find(rows, TEN_LOST, "product")) /
        earnedShare(find(rows, TEN_LOST, "ceiling")),
    },
    ...[EIGHT_LOST, TEN_LOST].map((load) => surgeTarget(load)),
    {
      name: "even engines: late, of the admitted, in the worst row",
      bound: 0.02,
      direction: "at most",
      measure: (rows) => worst(rows, ({ result }) => lateShare(result)),
    },
    {
      name: "room for all: refused requests",
      bound: 0,
      direction: "at most",
      measure: (rows) =>
        find(rows, ROOM, "product").filter(({ kind }) => kind === "refused")
          .length,
    },
    {
      name: "room for all: first token p50 later than earlier, ms",
      bound: 1,
      direction: "at most",
      measure: (rows) =>
        Math.max(
          ...kindsOf(rows, ROOM).map((kind) =>
            firstTokenPercentile(find(rows, ROOM, "product"), kind, 0.5) -
            firstTokenPercentile(find(rows, ROOM, "earlier"), kind, 0.5)
          ),
        ),
    },
    unusedTarget(),
  ],
  uneven: [
    {
      name: "15 % slow, 9 of 12 lost: on time, of the ceiling's",
      bound: 0.9,
      direction: "at least",
      measure: (rows) =>
        shareOf(find(rows, NINE_LOST, "product"), "on_time") /
        shareOf(find(rows, NINE_LOST, "ceiling"), "on_time"),
    },
    surgeTarget(NINE_LOST),
    ...["no engine slow", "15 % slow"].map((load): LoadTarget => ({
      name: `${load}: first token p95, of the ceiling's`,
      bound: 1.1,
      direction: "at most",
      measure: (rows) =>
        Math.max(
          ...kindsOf(rows, load).map((kind) =>
            firstTokenPercentile(find(rows, load, "product"), kind, 0.95) /
            firstTokenPercentile(find(rows, load, "ceiling"), kind, 0.95)
          ),
        ),
    })),
    {
      name: "most memory held, of the engine's, in the worst row",
      bound: 1,
      direction: "at most",
      measure: (rows) => worst(rows, ({ result }) => result.memoryShare),
    },
    {
      name: "memory short: tokens of shared parts read again, of earlier",
      bound: 0.6,
      direction: "at most",
      measure: (rows) =>
        findRow(rows, MEMORY_SHORT, "product").result.readAgainTokens /
        findRow(rows, MEMORY_SHORT, "earlier").result.readAgainTokens,
    },
    unusedTarget(),
  ],
} satisfies Record<string, readonly LoadTarget[]>;

function surgeTarget(load: string): LoadTarget {
  return {
    name:
      `${load}: on-time share that one of the other workspaces loses by a surge`,
    bound: 0.05,
    direction: "at most",
    measure: (rows) =>
      largestLoss(
        find(rows, load, "product"),
        find(rows, load + SURGE, "product"),
      ),
  };
}

function unusedTarget(): LoadTarget {
  return {
    name: "engine time unused while a request waits or was refused, worst row",
    bound: 0.03,
    direction: "at most",
    measure: (rows) => worst(rows, ({ result }) => result.unusedShare),
  };
}

function findRow(
  rows: readonly LoadRow[],
  load: string,
  decisions: string,
): LoadRow {
  return rows.find((row) =>
    row.load.name === load && row.decisions === decisions
  )!;
}

function find(
  rows: readonly LoadRow[],
  load: string,
  decisions: string,
): readonly Outcome[] {
  return findRow(rows, load, decisions).result.outcomes;
}

function worst(
  rows: readonly LoadRow[],
  measure: (row: LoadRow) => number,
): number {
  return Math.max(
    ...rows.filter(({ decisions }) => decisions === "product").map(measure),
  );
}

function lateShare({ outcomes }: LoadRow["result"]): number {
  return shareOf(
    outcomes.filter(({ kind }) => kind !== "refused"),
    "late",
    "lost",
  );
}

function ofRank(outcomes: readonly Outcome[], rank: number): Outcome[] {
  return outcomes.filter(({ request }) => request.kind.rank === rank);
}

function kindsOf(rows: readonly LoadRow[], load: string): string[] {
  return findRow(rows, load, "product").load.kinds.map(({ name }) => name);
}

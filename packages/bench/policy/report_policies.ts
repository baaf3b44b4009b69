import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { drawBarChart } from "../report/draw_bar_chart.ts";
import { formatTable } from "../report/format_table.ts";
import { POLICIES } from "./policies.ts";
import type { PolicyResult } from "./policy_result.ts";
import type { PolicyTask } from "./policy_task.ts";
import { runPolicy } from "./run_policy.ts";
import { runTasks } from "./run_tasks.ts";
import { SCENARIOS } from "./scenarios.ts";
import { WORKLOADS } from "./workloads.ts";

type ReportOptions = {
  /** Script of the worker threads. */
  readonly worker: URL;
  /** Folder that the SVG plots are written to. */
  readonly plotsFolder: string;
  readonly print: (text: string) => void;
};

const FIRST_SEED = 20261202;
/**
 * Runs averaged per row; a bureau run has fewer requests, so it needs more
 * runs.
 */
const RUNS_PER_ROW = { bordvakt: 2, bureau: 4 } as const;
/** Multiples of the base request rate, served by a fleet of constant size. */
const OVERLOAD_FACTORS = [1, 1.5, 2, 2.5, 3, 4, 5];
const FIXED_FLEET_DEMAND = 36;

/** Policies that are compared under each workload. */
const SHOWN_POLICIES = {
  bordvakt: ["cost", "roundRobin", "leastLoaded", "restart", "onDemand"],
  bureau: ["recompute", "roundRobin", "leastLoaded", "restart", "onDemand"],
} as const satisfies Record<
  keyof typeof WORKLOADS,
  readonly (keyof typeof POLICIES)[]
>;

/** Runs all policies, prints their result tables and writes the plots. */
export async function reportPolicies(options: ReportOptions): Promise<void> {
  const tasks = listTasks();
  const finished = averageSeeds(await runTasks(tasks, options.worker));
  for (const workload of Object.keys(WORKLOADS) as (keyof typeof WORKLOADS)[]) {
    const workloadResults = finished.filter(({ task }) =>
      task.workload === workload
    );
    options.print(`\n### ${WORKLOADS[workload].name}\n`);
    options.print(formatResults(workloadResults));
    drawPlots(workloadResults, { workload, plotsFolder: options.plotsFolder });
  }
  options.print("\n### Overload: a fixed fleet, Bordvakt's callers\n");
  options.print(reportOverload());
}

/** Averages the runs of each workload, scenario and policy over their seeds. */
function averageSeeds(runs: FinishedTasks): FinishedTasks {
  const rows = new Map<string, { task: PolicyTask; results: PolicyResult[] }>();
  for (const { task, result } of runs) {
    const key = `${task.workload} ${task.scenario} ${task.policy}`;
    const row = rows.get(key) ?? { task, results: [] };
    row.results.push(result);
    rows.set(key, row);
  }
  return [...rows.values()].map(({ task, results }) => ({
    task,
    result: averageResults(results),
  }));
}

function averageResults(results: readonly PolicyResult[]): PolicyResult {
  const mean = (read: (result: PolicyResult) => number) => {
    let total = 0;
    for (const result of results) {
      total += read(result);
    }
    return total / results.length;
  };
  return {
    firstTokenP50: mean((result) => result.firstTokenP50),
    firstTokenP95: mean((result) => result.firstTokenP95),
    firstTokenP99: mean((result) => result.firstTokenP99),
    tokenIntervalP95: mean((result) => result.tokenIntervalP95),
    withinTarget: mean((result) => result.withinTarget),
    refused: mean((result) => result.refused),
    lost: mean((result) => result.lost),
    recomputedTokens: mean((result) => result.recomputedTokens),
    prefillTokensPerRequest: mean((result) => result.prefillTokensPerRequest),
    costPerThousandGood: mean((result) => result.costPerThousandGood),
    answered: mean((result) => result.answered),
    goodByWorkspace: results[0]!.goodByWorkspace,
  };
}

function listTasks(): PolicyTask[] {
  const tasks: PolicyTask[] = [];
  for (const workload of Object.keys(WORKLOADS) as (keyof typeof WORKLOADS)[]) {
    for (const scenario of SCENARIOS.keys()) {
      for (const policy of SHOWN_POLICIES[workload]) {
        for (let run = 0; run < RUNS_PER_ROW[workload]; run += 1) {
          const seed = FIRST_SEED + run;
          tasks.push({ workload, policy, scenario, seed });
        }
      }
    }
  }
  return tasks;
}

type FinishedTasks = readonly {
  readonly task: PolicyTask;
  readonly result: PolicyResult;
}[];

function formatResults(runs: FinishedTasks): string {
  const rows = runs.map(({ task, result }) => [
    SCENARIOS[task.scenario]!.name,
    POLICIES[task.policy].name,
    result.firstTokenP50,
    result.firstTokenP95,
    result.firstTokenP99,
    result.tokenIntervalP95,
    (result.withinTarget * 100).toFixed(1),
    result.refused,
    result.lost,
    result.recomputedTokens,
    result.prefillTokensPerRequest,
    result.costPerThousandGood,
  ]);
  return formatTable([
    "scenario",
    "policy",
    "first p50 ms",
    "p95",
    "p99",
    "between p95 ms",
    "within target %",
    "refused",
    "lost",
    "recomputed tokens",
    "computed each",
    "cost / 1000 good",
  ], rows);
}

function drawPlots(
  runs: FinishedTasks,
  options: { workload: string; plotsFolder: string },
): void {
  const columns = {
    first_token_p95: { unit: "ms", read: (r: PolicyResult) => r.firstTokenP95 },
    recomputed: {
      unit: "tokens",
      read: (r: PolicyResult) => r.recomputedTokens,
    },
    cost: {
      unit: "price for 1,000 good answers",
      read: (r: PolicyResult) => r.costPerThousandGood,
    },
  };
  const policies = [...new Set(runs.map(({ task }) => task.policy))];
  for (const [name, { unit, read }] of Object.entries(columns)) {
    const svg = drawBarChart({
      title: `${options.workload}: ${name.replaceAll("_", " ")}`,
      unit,
      groups: SCENARIOS.map((scenario) => scenario.name),
      series: policies.map((policy) => ({
        name: POLICIES[policy].name,
        values: runs.filter(({ task }) => task.policy === policy)
          .map(({ result }) => read(result)),
      })),
    });
    writeFileSync(
      join(options.plotsFolder, `${options.workload}_${name}.svg`),
      svg,
    );
  }
}

/**
 * Reports goodput, in total and by workspace, under loads beyond the fleet
 * capacity.
 */
function reportOverload(): string {
  const baseOptions = {
    policy: POLICIES.cost,
    seed: FIRST_SEED,
    fixedFleet: FIXED_FLEET_DEMAND,
  };
  const { rate } = WORKLOADS.bordvakt;
  const scenario = (factor: number) => ({
    name: "overload",
    load: () => factor,
  });
  const runs = OVERLOAD_FACTORS.map((load) => ({
    load,
    result: runPolicy({
      ...baseOptions,
      workload: WORKLOADS.bordvakt,
      scenario: scenario(load),
    }),
  }));
  const countGood = (result: PolicyResult) =>
    result.goodByWorkspace.reduce((total, good) => total + good, 0);
  const best = Math.max(...runs.map(({ result }) => countGood(result)));
  const rows = runs.map(({ load, result }) => [
    (rate * load).toFixed(0),
    result.answered,
    result.refused,
    result.firstTokenP95,
    `${(countGood(result) / best * 100).toFixed(0)} %`,
    ...result.goodByWorkspace,
  ]);
  return formatTable([
    "offered / s",
    "answered",
    "refused",
    "first p95 ms",
    "good, of the best",
    "workspace 1",
    "2",
    "3",
    "4",
    "5",
  ], rows);
}

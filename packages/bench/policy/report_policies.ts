import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { drawBarChart } from "../report/bar_chart.ts";
import { formatTable } from "../report/format_table.ts";
import { POLICIES } from "./policies.ts";
import type { PolicyResult } from "./policy_result.ts";
import type { PolicyTask } from "./policy_task.ts";
import { runPolicy } from "./run_policy.ts";
import { runTasks } from "./run_tasks.ts";
import { SCENARIOS } from "./scenarios.ts";
import { WORKLOADS } from "./workloads.ts";

/** What the report is made with. */
type ReportOptions = {
  /** Script of the worker threads. */
  readonly worker: URL;
  /** Folder for the plots. */
  readonly plots: string;
  readonly print: (text: string) => void;
};

const SEED = 20261202;
const OVERLOAD = 1.6;
const FLEET_DEMAND = 36;

/** Each user's weighting beside the baselines. */
const SHOWN = {
  bordvakt: ["cost", "roundRobin", "leastLoaded", "restart", "onDemand"],
  bureau: ["recompute", "roundRobin", "leastLoaded", "restart", "onDemand"],
} as const satisfies Record<
  keyof typeof WORKLOADS,
  readonly (keyof typeof POLICIES)[]
>;

/** Measures and prints the policy tables, and draws the plots. */
export async function reportPolicies(options: ReportOptions): Promise<void> {
  const tasks = listTasks();
  const finished = await runTasks(tasks, options.worker);
  for (const workload of Object.keys(WORKLOADS) as (keyof typeof WORKLOADS)[]) {
    const own = finished.filter(({ task }) => task.workload === workload);
    options.print(`\n### ${WORKLOADS[workload].name}\n`);
    options.print(formatRuns(own));
    drawPlots(own, { workload, plots: options.plots });
  }
  options.print("\n### Overload: a fixed fleet at 1.6 times its capacity\n");
  options.print(reportOverload());
}

function listTasks(): PolicyTask[] {
  const tasks: PolicyTask[] = [];
  for (const workload of Object.keys(WORKLOADS) as (keyof typeof WORKLOADS)[]) {
    for (const scenario of SCENARIOS.keys()) {
      for (const policy of SHOWN[workload]) {
        tasks.push({ workload, policy, scenario, seed: SEED });
      }
    }
  }
  return tasks;
}

/** Tasks with their results. */
type Runs = readonly {
  readonly task: PolicyTask;
  readonly result: PolicyResult;
}[];

function formatRuns(runs: Runs): string {
  const rows = runs.map(({ task, result }) => [
    SCENARIOS[task.scenario]!.name,
    POLICIES[task.policy].name,
    result.firstP50,
    result.firstP95,
    result.firstP99,
    result.betweenP95,
    (result.withinTarget * 100).toFixed(1),
    result.refused,
    result.lost,
    result.recomputed,
    result.computedEach,
    result.costPerThousand,
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
  runs: Runs,
  options: { workload: string; plots: string },
): void {
  const columns = {
    first_token_p95: { unit: "ms", read: (r: PolicyResult) => r.firstP95 },
    recomputed: { unit: "tokens", read: (r: PolicyResult) => r.recomputed },
    cost: {
      unit: "price for 1,000 good answers",
      read: (r: PolicyResult) => r.costPerThousand,
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
    writeFileSync(join(options.plots, `${options.workload}_${name}.svg`), svg);
  }
}

/** Goodput and the workspaces' shares with more load than can be served. */
function reportOverload(): string {
  const base = {
    policy: POLICIES.cost,
    seed: SEED,
    fixedFleet: FLEET_DEMAND,
  };
  const { rate } = WORKLOADS.bordvakt;
  const scenario = (load: number) => ({ name: "overload", load: () => load });
  const runs = [1, OVERLOAD, 2 * OVERLOAD].map((load) => ({
    load,
    result: runPolicy({
      ...base,
      workload: WORKLOADS.bordvakt,
      scenario: scenario(load),
    }),
  }));
  const rows = runs.map(({ load, result }) => [
    (rate * load).toFixed(1),
    result.answered,
    result.refused,
    result.firstP95,
    ...result.goodBy,
  ]);
  return formatTable([
    "offered / s",
    "answered",
    "refused",
    "first p95 ms",
    "good, workspace 1",
    "2",
    "3",
    "4",
    "5",
  ], rows);
}

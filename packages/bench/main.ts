/**
 * Runs the benchmarks: `npm run bench`, or `npm run bench -- --only NAME`.
 *
 * @module
 */
import { mkdirSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { startBenchDeployment } from "./live/start_bench_deployment.ts";
import { reportControlGroup } from "./live/report_control_group.ts";
import { DECISION_SETS } from "./load/decision_sets.ts";
import type { Load } from "./load/load.ts";
import { LOADS } from "./load/loads.ts";
import { playLoad } from "./load/play_load.ts";
import { reportPlay } from "./load/report_play.ts";
import { reportLatency } from "./live/report_latency.ts";
import { reportPolicies } from "./policy/report_policies.ts";
import { measureExchange } from "./slopes/measure_exchange.ts";
import { reportSlopes } from "./slopes/report_slopes.ts";

const PLOTS_FOLDER = fileURLToPath(
  new URL("../../../docs/plots/", import.meta.url),
);
const POLICY_WORKER = new URL("./policy/policy_worker.js", import.meta.url);

const SCRIPTS = {
  daemon: fileURLToPath(
    new URL("../../../apps/heroncleatd/dist/main.js", import.meta.url),
  ),
  standIn: fileURLToPath(
    new URL("../../stand_ins/dist/main.js", import.meta.url),
  ),
};

/** Benchmarks by name, in the order in which they run. */
const BENCHMARKS: Readonly<Record<string, () => Promise<void>>> = {
  policy: () =>
    reportPolicies({ worker: POLICY_WORKER, plotsFolder: PLOTS_FOLDER, print }),
  live: reportLiveDeployment,
  slopes: async () => reportSlopes(print),
  competition: async () => reportLoads(LOADS.competition),
  uneven: async () => reportLoads(LOADS.uneven),
};

const { values } = parseArgs({
  options: {
    only: { type: "string" },
    // Prints the costs of the state exchange as one JSON object per line.
    json: { type: "boolean", default: false },
    // Select plays of the competition and uneven benchmarks.
    load: { type: "string" },
    decisions: { type: "string" },
    seed: { type: "string", default: "1" },
  },
});
if (values.json) {
  if (values.only !== "slopes") {
    print("--json works only with the slopes. Remedy: add --only slopes.");
    process.exit(2);
  }
  for (const cost of measureExchange()) {
    print(JSON.stringify(cost));
  }
  process.exit(0);
}
if (values.only !== undefined && !Object.hasOwn(BENCHMARKS, values.only)) {
  print(
    `Unknown benchmark ${values.only}. Remedy: use one of ${
      Object.keys(BENCHMARKS).join(", ")
    }.`,
  );
  process.exit(2);
}
mkdirSync(PLOTS_FOLDER, { recursive: true });
for (const [name, run] of Object.entries(BENCHMARKS)) {
  if (values.only === undefined || values.only === name) {
    const startedAt = performance.now();
    print(`\n## ${name}`);
    await run();
    const seconds = (performance.now() - startedAt) / 1000;
    print(`\n(${name} took ${seconds.toFixed(0)} s)`);
  }
}

async function reportLiveDeployment(): Promise<void> {
  const bench = await startBenchDeployment(SCRIPTS);
  try {
    await reportLatency(bench, print);
    await reportControlGroup(bench, print);
  } finally {
    bench.stop();
  }
}

function reportLoads(loads: readonly Load[]): void {
  for (const load of loads) {
    for (const decisions of DECISION_SETS) {
      const isPlayed = [load.name, undefined].includes(values.load) &&
        [decisions.name, undefined].includes(values.decisions);
      if (isPlayed) {
        const startedAt = performance.now();
        const result = playLoad({
          load,
          decisions,
          seed: Number(values.seed),
        });
        print(`\n### ${load.name}, ${decisions.name}\n`);
        print(reportPlay(load, result));
        print(`${(performance.now() - startedAt).toFixed(0)} ms`);
      }
    }
  }
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

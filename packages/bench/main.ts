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
import { runLoads } from "./load/run_loads.ts";
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
  competition: async () => playLoads("competition"),
  uneven: async () => playLoads("uneven"),
};

/** Benchmarks that print JSON lines, by name. */
const JSON_BENCHMARKS: Readonly<Record<string, () => void>> = {
  slopes: () => {
    for (const cost of measureExchange()) {
      print(JSON.stringify(cost));
    }
  },
  competition: () => playLoads("competition"),
  uneven: () => playLoads("uneven"),
};

const { values } = parseArgs({
  options: {
    only: { type: "string" },
    // Prints the costs of the state exchange, or what callers got under each
    // load, as one JSON object per line.
    json: { type: "boolean", default: false },
    // Select plays of competition and uneven.
    load: { type: "string" },
    decisions: { type: "string" },
    seed: { type: "string" },
  },
});
if (values.json) {
  const printJson = values.only === undefined
    ? undefined
    : JSON_BENCHMARKS[values.only];
  if (printJson === undefined) {
    print(
      `--json works only with some benchmarks. Remedy: add --only with one of ${
        Object.keys(JSON_BENCHMARKS).join(", ")
      }.`,
    );
    process.exit(2);
  }
  printJson();
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

function playLoads(benchmark: "competition" | "uneven"): void {
  runLoads({
    benchmark,
    load: values.load,
    decisions: values.decisions,
    seed: values.seed,
    isJson: values.json,
    plotsFolder: PLOTS_FOLDER,
    print,
  });
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

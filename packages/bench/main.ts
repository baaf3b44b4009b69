/**
 * Measures the product: `npm run bench`, or `npm run bench -- --only NAME`.
 *
 * @module
 */
import { mkdirSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { startBenchDeployment } from "./live/start_bench_deployment.ts";
import { reportControl } from "./live/report_control.ts";
import { reportLatency } from "./live/report_latency.ts";
import { reportPolicies } from "./policy/report_policies.ts";
import { measureExchange } from "./slopes/exchange_slope.ts";
import { reportSlopes } from "./slopes/report_slopes.ts";

const PLOTS = fileURLToPath(new URL("../../../docs/plots/", import.meta.url));
const POLICY_WORKER = new URL("./policy/policy_worker.js", import.meta.url);

const SCRIPTS = {
  daemon: fileURLToPath(
    new URL("../../../apps/heroncleatd/dist/main.js", import.meta.url),
  ),
  standIn: fileURLToPath(
    new URL("../../stand_ins/dist/main.js", import.meta.url),
  ),
};

/** The parts of the bench, in the order in which they run. */
const PARTS: Readonly<Record<string, () => Promise<void>>> = {
  policy: () => reportPolicies({ worker: POLICY_WORKER, plots: PLOTS, print }),
  live: reportLive,
  slopes: async () => reportSlopes(print),
};

const { values } = parseArgs({
  options: {
    only: { type: "string" },
    // The exchange's cost, one JSON object a line, for programs.
    json: { type: "boolean", default: false },
  },
});
if (values.json) {
  if (values.only !== "slopes") {
    print("--json goes with the slopes. Remedy: add --only slopes.");
    process.exit(2);
  }
  for (const cost of measureExchange()) {
    print(JSON.stringify(cost));
  }
  process.exit(0);
}
if (values.only !== undefined && !Object.hasOwn(PARTS, values.only)) {
  print(
    `There is no part ${values.only}. Remedy: use one of ${
      Object.keys(PARTS).join(", ")
    }.`,
  );
  process.exit(2);
}
mkdirSync(PLOTS, { recursive: true });
for (const [name, run] of Object.entries(PARTS)) {
  if (values.only === undefined || values.only === name) {
    const startedAt = performance.now();
    print(`\n## ${name}`);
    await run();
    const seconds = (performance.now() - startedAt) / 1000;
    print(`\n(${name} took ${seconds.toFixed(0)} s)`);
  }
}

async function reportLive(): Promise<void> {
  const bench = await startBenchDeployment(SCRIPTS);
  try {
    await reportLatency(bench, print);
    await reportControl(bench, print);
  } finally {
    bench.stop();
  }
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

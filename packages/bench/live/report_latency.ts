import type { Histogram } from "hdr-histogram-js";
import { Agent } from "undici";
import { formatTable } from "../report/format_table.ts";
import type { BenchDeployment } from "./bench_deployment.ts";
import { readProcessUsage } from "./process_usage.ts";
import { runStreamLoad } from "./stream_load.ts";

const WARM_UP = { rate: 200, seconds: 3, tokens: 6 };
const RATE = 500;
const SECONDS = 6;
const TOKENS = 8;
const OPEN_STREAMS = 1000;
const ANSWER_LENGTHS = [2, 16, 64];
const COST_RATE = 50;
const COST_SECONDS = 4;
const MICROSECONDS = 1000;

/** Measures what an entry adds to a direct call to the same engines. */
export async function reportLatency(
  bench: BenchDeployment,
  print: (text: string) => void,
): Promise<void> {
  const { deployment, processes } = bench;
  const agent = new Agent({ pipelining: 1 });
  const key = Object.values(deployment.callerKeys)[0]!;
  const engines = deployment.upstreams.slice(0, 4).map((up) => up.address);
  const entry = deployment.entries[0]!;
  const pid = processes.pidOf(entry.name);
  const common = { key, agent };
  for (const addresses of [engines, [entry.callerAddress]]) {
    await runStreamLoad({ ...common, ...WARM_UP, addresses });
  }
  const load = { ...common, rate: RATE, seconds: SECONDS, tokens: TOKENS };
  const direct = await runStreamLoad({ ...load, addresses: engines });
  const before = readProcessUsage(pid);
  const through = await runStreamLoad({
    ...load,
    addresses: [entry.callerAddress],
  });
  const after = readProcessUsage(pid);
  const spread = await runStreamLoad({
    ...load,
    addresses: deployment.entries.map((each) => each.callerAddress),
  });
  print(`### ${RATE} requests/s of ${TOKENS} tokens, times in ms\n`);
  print(formatTable(
    ["path", "first p50", "p95", "p99", "between p50", "p95", "p99", "failed"],
    [
      ["direct", ...quantiles(direct)],
      ["through one entry", ...quantiles(through)],
      ["spread over 12 entries", ...quantiles(spread)],
    ],
  ));
  const cpuEach = (after.cpuMs - before.cpuMs) / through.answered;
  print(`\nOne entry: ${cpuEach.toFixed(2)} ms of processor time a request, `);
  print(`${(1000 / cpuEach).toFixed(0)} such requests/s a core.\n`);
  await reportTokenCost(bench, { agent, key, print });
  await reportStreams(bench, { agent, key, print });
  await agent.close();
}

function quantiles(
  result: { first: Histogram; between: Histogram; failed: number },
): number[] {
  const read = (histogram: Histogram, at: number) =>
    histogram.getValueAtPercentile(at) / MICROSECONDS;
  return [
    ...[50, 95, 99].map((at) => read(result.first, at)),
    ...[50, 95, 99].map((at) => read(result.between, at)),
    result.failed,
  ];
}

/** Processor time of an entry by the length of the answers. */
async function reportTokenCost(
  bench: BenchDeployment,
  options: { agent: Agent; key: string; print: (text: string) => void },
): Promise<void> {
  const entry = bench.deployment.entries[0]!;
  const pid = bench.processes.pidOf(entry.name);
  const rows: number[][] = [];
  for (const tokens of ANSWER_LENGTHS) {
    const before = readProcessUsage(pid).cpuMs;
    const result = await runStreamLoad({
      addresses: [entry.callerAddress],
      agent: options.agent,
      key: options.key,
      rate: COST_RATE,
      seconds: COST_SECONDS,
      tokens,
    });
    const used = readProcessUsage(pid).cpuMs - before;
    rows.push([tokens, used / result.answered]);
  }
  options.print(`### One entry at ${COST_RATE} requests/s\n`);
  options.print(formatTable(["tokens", "processor ms a request"], rows));
  options.print("");
}

/** Memory that open streams take at their entry. */
async function reportStreams(
  bench: BenchDeployment,
  options: { agent: Agent; key: string; print: (text: string) => void },
): Promise<void> {
  const entry = bench.deployment.entries[1]!;
  const pid = bench.processes.pidOf(entry.name);
  const before = readProcessUsage(pid).megabytes;
  let most = before;
  const sampler = setInterval(() => {
    most = Math.max(most, readProcessUsage(pid).megabytes);
  }, 100);
  await runStreamLoad({
    addresses: [entry.callerAddress],
    agent: options.agent,
    key: options.key,
    rate: OPEN_STREAMS,
    seconds: 1,
    tokens: 150,
  });
  clearInterval(sampler);
  const grown = most - before;
  const streams = OPEN_STREAMS / grown * 100;
  options.print(
    `${OPEN_STREAMS} open streams took ${grown.toFixed(0)} MB more at their ` +
      `entry: ${streams.toFixed(0)} for each 100 MB.\n`,
  );
}

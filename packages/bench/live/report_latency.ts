import type { Histogram } from "hdr-histogram-js";
import { Agent } from "undici";
import { formatTable } from "../report/format_table.ts";
import type { BenchDeployment } from "./bench_deployment.ts";
import { readProcessUsage } from "./read_process_usage.ts";
import { runStreamLoad } from "./run_stream_load.ts";

const WARM_UP = { rate: 200, seconds: 3, tokens: 6 };
const REQUESTS_PER_SECOND = 500;
const LOAD_SECONDS = 6;
const RESPONSE_TOKENS = 8;
const OPEN_STREAM_COUNT = 1000;
const RESPONSE_LENGTHS_TOKENS = [2, 16, 64];
const TOKEN_COST_REQUESTS_PER_SECOND = 50;
const TOKEN_COST_SECONDS = 4;
const MICROSECONDS_PER_MS = 1000;

/**
 * Measures the latency and processor time that an entry adds to direct engine
 * requests.
 */
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
  const load = {
    ...common,
    rate: REQUESTS_PER_SECOND,
    seconds: LOAD_SECONDS,
    tokens: RESPONSE_TOKENS,
  };
  const direct = await runStreamLoad({ ...load, addresses: engines });
  const before = readProcessUsage(pid);
  const throughOneEntry = await runStreamLoad({
    ...load,
    addresses: [entry.callerAddress],
  });
  const after = readProcessUsage(pid);
  const spreadOverEntries = await runStreamLoad({
    ...load,
    addresses: deployment.entries.map((each) => each.callerAddress),
  });
  print(
    `### ${REQUESTS_PER_SECOND} requests/s of ${RESPONSE_TOKENS} tokens, times in ms\n`,
  );
  print(formatTable(
    ["path", "first p50", "p95", "p99", "between p50", "p95", "p99", "failed"],
    [
      ["direct", ...percentiles(direct)],
      ["through one entry", ...percentiles(throughOneEntry)],
      ["spread over 12 entries", ...percentiles(spreadOverEntries)],
    ],
  ));
  const cpuMsPerRequest = (after.cpuMs - before.cpuMs) /
    throughOneEntry.answered;
  print(
    `\nOne entry: ${
      cpuMsPerRequest.toFixed(2)
    } ms of processor time a request, `,
  );
  print(`${(1000 / cpuMsPerRequest).toFixed(0)} such requests/s a core.\n`);
  await reportTokenCost(bench, { agent, key, print });
  await reportStreamMemory(bench, { agent, key, print });
  await agent.close();
}

function percentiles(
  result: { firstToken: Histogram; tokenInterval: Histogram; failed: number },
): number[] {
  const read = (histogram: Histogram, at: number) =>
    histogram.getValueAtPercentile(at) / MICROSECONDS_PER_MS;
  return [
    ...[50, 95, 99].map((at) => read(result.firstToken, at)),
    ...[50, 95, 99].map((at) => read(result.tokenInterval, at)),
    result.failed,
  ];
}

/** Reports the processor time of an entry per request by response length. */
async function reportTokenCost(
  bench: BenchDeployment,
  options: { agent: Agent; key: string; print: (text: string) => void },
): Promise<void> {
  const entry = bench.deployment.entries[0]!;
  const pid = bench.processes.pidOf(entry.name);
  const rows: number[][] = [];
  for (const tokens of RESPONSE_LENGTHS_TOKENS) {
    const before = readProcessUsage(pid).cpuMs;
    const result = await runStreamLoad({
      addresses: [entry.callerAddress],
      agent: options.agent,
      key: options.key,
      rate: TOKEN_COST_REQUESTS_PER_SECOND,
      seconds: TOKEN_COST_SECONDS,
      tokens,
    });
    const usedCpuMs = readProcessUsage(pid).cpuMs - before;
    rows.push([tokens, usedCpuMs / result.answered]);
  }
  options.print(
    `### One entry at ${TOKEN_COST_REQUESTS_PER_SECOND} requests/s\n`,
  );
  options.print(formatTable(["tokens", "processor ms a request"], rows));
  options.print("");
}

/** Reports the memory that open streams use at their entry. */
async function reportStreamMemory(
  bench: BenchDeployment,
  options: { agent: Agent; key: string; print: (text: string) => void },
): Promise<void> {
  const entry = bench.deployment.entries[1]!;
  const pid = bench.processes.pidOf(entry.name);
  const before = readProcessUsage(pid).megabytes;
  let peakMegabytes = before;
  const sampler = setInterval(() => {
    peakMegabytes = Math.max(peakMegabytes, readProcessUsage(pid).megabytes);
  }, 100);
  await runStreamLoad({
    addresses: [entry.callerAddress],
    agent: options.agent,
    key: options.key,
    rate: OPEN_STREAM_COUNT,
    seconds: 1,
    tokens: 150,
  });
  clearInterval(sampler);
  const growthMegabytes = peakMegabytes - before;
  const streamsPer100Megabytes = OPEN_STREAM_COUNT / growthMegabytes * 100;
  options.print(
    `${OPEN_STREAM_COUNT} open streams took ${
      growthMegabytes.toFixed(0)
    } MB more at their ` +
      `entry: ${streamsPer100Megabytes.toFixed(0)} for each 100 MB.\n`,
  );
}

/**
 * A whole deployment on loopback: serves one prompt and stops, or stays up
 * with `--keep`.
 *
 * @module
 */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { request } from "undici";
import { ask } from "./ask.ts";
import type { Deployment } from "./deployment.ts";
import type { ProcessGroup } from "./process_group.ts";
import { startDeployment } from "./start_deployment.ts";
import { writeDeployment } from "./write_deployment.ts";

const FIRST_PORT = 7400;
const PROMPT_FILE = new URL("../demo_prompt.txt", import.meta.url);

const { values } = parseArgs({ options: { keep: { type: "boolean" } } });
const folder = mkdtempSync(join(tmpdir(), "heroncleat-"));
const deployment = writeDeployment({
  folder,
  firstPort: FIRST_PORT,
  controls: 3,
  entries: 3,
  engines: 2,
  services: 1,
});
process.exitCode = await run();

async function run(): Promise<number> {
  let group: ProcessGroup | undefined;
  try {
    print("Starting 3 control replicas, 3 entries and 3 upstreams.\n");
    group = await startDeployment(deployment);
    await showAnswer(deployment);
    if (values.keep) {
      await keepUp(deployment);
    }
    return await stop(group);
  } catch (error) {
    print(`Failed: ${(error as Error).message}. Logs are in ${folder}.\n`);
    group?.kill();
    return 1;
  }
}

async function showAnswer({ entries, callerKey }: Deployment): Promise<void> {
  const discovery = `http://${entries[0]!.callerAddress}/v1/entries`;
  const listed = await (await request(discovery)).body.json() as {
    entries: { address: string; zone: string }[];
  };
  const entry = listed.entries[0]!;
  print(`Using entry ${entry.address} in ${entry.zone}.\n`);
  const prompt = readFileSync(PROMPT_FILE, "utf8");
  print(`Prompt: ${prompt}Answer:`);
  const answer = await ask(entry.address, { key: callerKey, prompt, print });
  const upstream = await findUpstream(entry.address, answer.requestId);
  print(`\nRequest ${answer.requestId}\n`);
  print(`Served by ${upstream}, first token after `);
  print(`${answer.firstToken.toFixed(1)} ms.\n`);
}

async function findUpstream(address: string, id: string): Promise<string> {
  const response = await request(
    `http://${address}/v1/requests/${encodeURIComponent(id)}`,
    { headers: { authorization: `Bearer ${deployment.callerKey}` } },
  );
  await response.body.dump();
  return String(response.headers["heroncleat-upstream"]);
}

async function keepUp(kept: Deployment): Promise<void> {
  const control = kept.controls.map((replica) => replica.operatorAddress);
  print("\nStays up until it is interrupted (Ctrl-C).\n");
  print(`export HERONCLEAT_CONTROL=${control.join(",")}\n`);
  print(`export HERONCLEAT_TOKEN_FILE=${kept.tokenFile}\n`);
  print(`export KEY=${kept.callerKey}\n`);
  print("npx heroncleat status\n");
  print(`curl -N http://${kept.entries[0]!.callerAddress}`);
  print('/v1/chat/completions -H "authorization: Bearer $KEY" ');
  print('-H "content-type: application/json" -d ');
  print(`'{"model":"assistant","stream":true,"messages":`);
  print(`[{"role":"user","content":"A table for two"}]}'\n`);
  await new Promise<void>((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });
}

/** Entries first, then upstreams, then control; all must end with code 0. */
async function stop(group: ProcessGroup): Promise<number> {
  const codes = [
    ...await group.stop(deployment.entries.map(({ name }) => name)),
    ...await group.stop(deployment.upstreams.map(({ name }) => name)),
    ...await group.stop(deployment.controls.map(({ name }) => name)),
  ];
  const failed = codes.filter((code) => code !== 0).length;
  print(`Stopped ${codes.length} processes, ${failed} with an error.\n`);
  if (failed === 0) {
    rmSync(folder, { recursive: true });
  }
  return failed === 0 ? 0 : 1;
}

function print(text: string): void {
  process.stdout.write(text);
}

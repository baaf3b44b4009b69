/**
 * A whole deployment on loopback: serves one prompt and stops, or stays up
 * with `--keep`.
 *
 * @module
 */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { parseArgs } from "node:util";
import {
  ask,
  type Deployment,
  type ProcessGroup,
  startDeployment,
  writeDeployment,
} from "@heroncleat/local_deployment";
import { request } from "undici";

const FIRST_PORT = 7400;
const PROMPT_FILE = new URL("../demo_prompt.txt", import.meta.url);
const require = createRequire(import.meta.url);

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
    group = await startDeployment(deployment, {
      daemon: mainOf("@heroncleat/heroncleatd"),
      standIn: mainOf("@heroncleat/stand_ins"),
    });
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

function mainOf(name: string): string {
  const found = dirname(require.resolve(`${name}/package.json`));
  return join(found, "dist", "main.js");
}

async function showAnswer({ entries, callerKeys }: Deployment): Promise<void> {
  const discovery = `http://${entries[0]!.callerAddress}/v1/entries`;
  const listed = await (await request(discovery)).body.json() as {
    entries: { address: string; zone: string }[];
  };
  const entry = listed.entries[0]!;
  print(`Using entry ${entry.address} in ${entry.zone}.\n`);
  const prompt = readFileSync(PROMPT_FILE, "utf8");
  print(`Prompt: ${prompt}Answer:`);
  const key = callerKeys["bistro"]!;
  const answer = await ask(entry.address, { key, prompt, print });
  print(`\nRequest ${answer.requestId}\n`);
  print(`Served by ${answer.upstream}, first token after `);
  print(`${answer.firstToken.toFixed(1)} ms.\n`);
}

async function keepUp(kept: Deployment): Promise<void> {
  const control = kept.controls.map((replica) => replica.operatorAddress);
  print("\nStays up until it is interrupted (Ctrl-C).\n");
  print(`export HERONCLEAT_CONTROL=${control.join(",")}\n`);
  print(`export HERONCLEAT_TOKEN_FILE=${kept.tokenFile}\n`);
  print(`export KEY=${kept.callerKeys["bistro"]}\n`);
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

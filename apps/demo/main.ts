/**
 * Runs a deployment on loopback addresses, serves one prompt and stops; with
 * `--keep`, it stays up until interrupted.
 *
 * @module
 */
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { parseArgs } from "node:util";
import { ShutdownSignal } from "@heroncleat/base";
import {
  type Deployment,
  findAddressInUse,
  type ProcessGroup,
  sendPrompt,
  startDeployment,
  writeDeployment,
} from "@heroncleat/local_deployment";
import { request } from "undici";

const FIRST_PORT = 7400;
/** Leaves room for the ports above the first one that the deployment uses. */
const MAX_FIRST_PORT = 65_000;
const PROMPT_FILE = new URL("../demo_prompt.txt", import.meta.url);
const require = createRequire(import.meta.url);

const { values } = parseArgs({
  options: { keep: { type: "boolean" }, port: { type: "string" } },
});
const firstPort = Number(values.port ?? FIRST_PORT);
if (
  !(Number.isInteger(firstPort) && firstPort > 0) ||
  firstPort > MAX_FIRST_PORT
) {
  print(`--port must be from 1 to ${MAX_FIRST_PORT}. Remedy: give a number.\n`);
  process.exit(2);
}
const folder = mkdtempSync(join(tmpdir(), "heroncleat-"));
const deployment = writeDeployment({
  folder,
  firstPort,
  controls: 3,
  entries: 3,
  engines: 2,
  services: 1,
});
process.exitCode = await run();

async function run(): Promise<number> {
  let group: ProcessGroup | undefined;
  try {
    await checkAddressesAreFree();
    print("Starting 3 control replicas, 3 entries and 3 upstreams.\n");
    group = await startDeployment(deployment, {
      daemon: findMainScript("@heroncleat/heroncleatd"),
      standIn: findMainScript("@heroncleat/stand_ins"),
    });
    await servePrompt(deployment);
    if (values.keep) {
      await waitForInterrupt(deployment);
    }
    return await stop(group);
  } catch (error) {
    print(`Failed: ${(error as Error).message}. Logs are in ${folder}.\n`);
    group?.kill();
    return 1;
  }
}

async function checkAddressesAreFree(): Promise<void> {
  const usedAddress = await findAddressInUse(deployment);
  if (usedAddress !== undefined) {
    throw new Error(
      `Something listens on ${usedAddress} already. Remedy: end it, or give other ` +
        "ports with `npm start -- --port 9400`",
    );
  }
}

function findMainScript(name: string): string {
  const packageFolder = dirname(require.resolve(`${name}/package.json`));
  const main = join(packageFolder, "dist", "main.js");
  if (!existsSync(main)) {
    throw new Error(`${name} isn't built. Remedy: npm run build`);
  }
  return main;
}

async function servePrompt({ entries, callerKeys }: Deployment): Promise<void> {
  const discovery = `http://${entries[0]!.callerAddress}/v1/entries`;
  const listed = await (await request(discovery)).body.json() as {
    entries: { address: string; zone: string }[];
  };
  const entry = listed.entries[0]!;
  print(`Using entry ${entry.address} in ${entry.zone}.\n`);
  const prompt = readFileSync(PROMPT_FILE, "utf8");
  print(`Prompt: ${prompt}Answer:`);
  const key = callerKeys["bistro"]!;
  const response = await sendPrompt(entry.address, { key, prompt, print });
  print(`\nRequest ${response.requestId}\n`);
  print(`Served by ${response.upstream}, first token after `);
  print(`${response.timeToFirstToken.toFixed(1)} ms.\n`);
}

async function waitForInterrupt(running: Deployment): Promise<void> {
  const control = running.controls.map((replica) => replica.operatorAddress);
  print("\nStays up until it is interrupted (Ctrl-C).\n");
  print(`export HERONCLEAT_CONTROL=${control.join(",")}\n`);
  print(`export HERONCLEAT_TOKEN_FILE=${running.tokenFile}\n`);
  print(`export KEY=${running.callerKeys["bistro"]}\n`);
  print("npx heroncleat status\n");
  print(`curl -N http://${running.entries[0]!.callerAddress}`);
  print('/v1/chat/completions -H "authorization: Bearer $KEY" ');
  print('-H "content-type: application/json" -d ');
  print(`'{"model":"assistant","stream":true,"messages":`);
  print(`[{"role":"user","content":"A table for two"}]}'\n`);
  // Further signals must not end it before it has stopped all processes.
  await new ShutdownSignal(process, {
    signals: ["SIGINT", "SIGTERM"],
    now: () => performance.now(),
  }).received;
}

/** Stops entries, upstreams and control replicas in this order. */
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

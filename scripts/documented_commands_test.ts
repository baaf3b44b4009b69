import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { createServer } from "node:net";

// A newcomer's first command ended with an error, and no check ran it.
// Each command that README.md and docs/OPERATIONS.md show is run by the named
// check, or listed with the reason why none runs it.

const PAGES = ["README.md", "docs/OPERATIONS.md"];
const TOOL = "apps/heroncleat/tool_test.ts";
const SUSPECTS = "apps/heroncleatd/hub/crashing_request_test.ts";
const RUN: Readonly<Record<string, string>> = {
  "npm ci && npm start": "scripts/check_main_command.mjs",
  "npm test": ".ci/run",
  "npm run soak -- --seed 1 --seconds 60": "platform/soak/soak_test.ts",
  "heroncleatd --settings FILE":
    "packages/local_deployment/start_deployment.ts",
  "heroncleatd --settings FILE --check": "scripts/documented_commands_test.ts",
  "export HERONCLEAT_CONTROL=10.0.0.1:7001,10.0.0.2:7001": TOOL,
  "export HERONCLEAT_TOKEN_FILE=token": TOOL,
  "heroncleat status": TOOL,
  "heroncleat group-set old place=old": TOOL,
  "heroncleat group-set new place=new --share 0": TOOL,
  "heroncleat selector-set all --groups old,new": TOOL,
  "heroncleat fill new --share 10": TOOL,
  "heroncleat fill new --share 100": TOOL,
  "heroncleat drain old": TOOL,
  "heroncleat losses --logs FILE [FILE ...]":
    "apps/heroncleat/losses/losses_test.ts",
  "heroncleat explain REQUEST_ID --logs FILE [FILE ...]":
    "apps/heroncleat/explain/explain_test.ts",
  "heroncleat replicas --peers HOST:PORT[,...]":
    "apps/heroncleatd/hub/hub_proxy_test.ts",
  "heroncleat suspects --peers HOST:PORT[,...]": SUSPECTS,
  "heroncleat suspect-clear DIGEST --peers HOST:PORT[,...]": SUSPECTS,
};
const NOT_RUN: Readonly<Record<string, string>> = {
  "npm start -- --keep": "stays up until it is interrupted",
  "npm run bench": "takes four minutes",
  "npm run bench -- --only policy|live|slopes": "takes four minutes",
};

test("every documented command is run by a check, or says why not", () => {
  const documented = new Set(PAGES.flatMap(commandsOf));
  const listed = new Set([...Object.keys(RUN), ...Object.keys(NOT_RUN)]);
  expect([...documented].sort()).toEqual([...listed].sort());
  const missing = Object.values(RUN).filter((file) => !existsSync(file));
  expect(missing).toEqual([]);
});

test("the demo names what is wrong with its surroundings", async () => {
  const server = createServer();
  await new Promise<void>((done) => server.listen(9600, "127.0.1.1", done));
  const taken = runDemo("--port", "9600");
  await new Promise((done) => server.close(done));
  expect(taken.stdout).toContain("Something listens on 127.0.1.1:9600 already");
  expect(taken.stdout).toContain("Remedy: end it, or give other ports");
  expect(taken.status).toBe(1);
  const wrong = runDemo("--port", "many");
  expect(wrong.stdout).toContain("Remedy: give a number");
  expect(wrong.status).toBe(2);
});

test("the daemon checks its settings without running", () => {
  const { status, stdout, stderr } = spawnSync(process.execPath, [
    "apps/heroncleatd/dist/main.js",
    "--settings",
    "no-such-file.ini",
    "--check",
  ], { encoding: "utf8" });
  expect(status).toBe(2);
  expect(stdout + stderr).toContain("no-such-file.ini");
});

function runDemo(...words: string[]) {
  const demo = "apps/demo/dist/main.js";
  return spawnSync(process.execPath, [demo, ...words], { encoding: "utf8" });
}

/** Indented lines that begin with a program's name, without their comments. */
function commandsOf(page: string): string[] {
  const lines = readFileSync(page, "utf8").split("\n");
  const commands = lines.filter((line) =>
    /^ {4}(npm|heroncleat|heroncleatd|export) /.test(line)
  );
  return commands.map((line) => line.trim().split(/ {2,}/)[0]!);
}

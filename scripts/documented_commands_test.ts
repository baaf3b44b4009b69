import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { createServer } from "node:net";

// Guards against documented commands that fail. Each command in README.md and
// docs/OPERATIONS.md is run by the check listed for it, or by none for the
// reason listed.

const DOCUMENTED_PAGES = ["README.md", "docs/OPERATIONS.md"];
const TOOL_TEST = "apps/heroncleat/tool_test.ts";
const CHECK_TEST = "apps/heroncleat/check/check_test.ts";
const SUSPECTS_TEST = "apps/heroncleatd/hub/crashing_request_test.ts";
const ROLLOUT_TEST = "apps/heroncleatd/hub/rollout_test.ts";
const CHECK_BY_COMMAND: Readonly<Record<string, string>> = {
  "npm ci && npm start": "scripts/check_main_command.mjs",
  "npm test": ".ci/run",
  "npm run soak -- --seed 1 --seconds 60": "platform/soak/soak_test.ts",
  "heroncleatd --settings FILE":
    "packages/local_deployment/start_deployment.ts",
  "heroncleatd --settings FILE --check": "scripts/documented_commands_test.ts",
  "export HERONCLEAT_CONTROL=10.0.0.1:7001,10.0.0.2:7001": TOOL_TEST,
  "export HERONCLEAT_TOKEN_FILE=token": TOOL_TEST,
  "heroncleat status": TOOL_TEST,
  "heroncleat group-set old place=old": TOOL_TEST,
  "heroncleat group-set new place=new --share 0": TOOL_TEST,
  "heroncleat selector-set all --groups old,new": TOOL_TEST,
  "heroncleat fill new --share 10": TOOL_TEST,
  "heroncleat fill new --share 100": TOOL_TEST,
  "heroncleat drain old": TOOL_TEST,
  "heroncleat losses --logs FILE [FILE ...]":
    "apps/heroncleat/losses/losses_test.ts",
  "heroncleat explain REQUEST_ID --logs FILE [FILE ...]":
    "apps/heroncleat/explain/explain_test.ts",
  "heroncleat check FILE --against FILE": CHECK_TEST,
  "heroncleat check FILE --peers HOST:PORT[,...]": CHECK_TEST,
  "heroncleat replicas --peers HOST:PORT[,...]":
    "apps/heroncleatd/hub/hub_proxy_test.ts",
  "heroncleat rate-limits --peers HOST:PORT[,...]":
    "apps/heroncleatd/hub/rate_limit_test.ts",
  "heroncleat rollout SERVICE --peers HOST:PORT[,...]": ROLLOUT_TEST,
  "heroncleat suspects --peers HOST:PORT[,...]": SUSPECTS_TEST,
  "heroncleat suspect-clear DIGEST --peers HOST:PORT[,...]": SUSPECTS_TEST,
};
const REASON_NOT_RUN: Readonly<Record<string, string>> = {
  "npm start -- --keep": "runs until it is interrupted",
  "npm run bench": "takes several minutes",
  "npm run bench -- --only policy|live|slopes|competition|uneven":
    "takes several minutes",
};

test("every documented command is run by a check or listed with a reason", () => {
  const documented = new Set(DOCUMENTED_PAGES.flatMap(listCommands));
  const listed = new Set([
    ...Object.keys(CHECK_BY_COMMAND),
    ...Object.keys(REASON_NOT_RUN),
  ]);
  expect([...documented].sort()).toEqual([...listed].sort());
  const missingFiles = Object.values(CHECK_BY_COMMAND).filter((file) =>
    !existsSync(file)
  );
  expect(missingFiles).toEqual([]);
});

test("the demo reports an occupied port and an invalid port number", async () => {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(9600, "127.0.1.1", resolve)
  );
  const occupied = runDemo("--port", "9600");
  await new Promise((resolve) => server.close(resolve));
  expect(occupied.stdout).toContain(
    "Something listens on 127.0.1.1:9600 already",
  );
  expect(occupied.stdout).toContain("Remedy: end it, or give other ports");
  expect(occupied.status).toBe(1);
  const invalid = runDemo("--port", "many");
  expect(invalid.stdout).toContain("Remedy: give a number");
  expect(invalid.status).toBe(2);
});

test("the daemon reports a missing settings file in check mode", () => {
  const { status, stdout, stderr } = spawnSync(process.execPath, [
    "apps/heroncleatd/dist/main.js",
    "--settings",
    "no-such-file.ini",
    "--check",
  ], { encoding: "utf8" });
  expect(status).toBe(2);
  expect(stdout + stderr).toContain("no-such-file.ini");
});

function runDemo(...args: string[]) {
  const program = "apps/demo/dist/main.js";
  return spawnSync(process.execPath, [program, ...args], { encoding: "utf8" });
}

/** Returns indented lines that begin with a program name, without comments. */
function listCommands(page: string): string[] {
  const lines = readFileSync(page, "utf8").split("\n");
  const commands = lines.filter((line) =>
    /^ {4}(npm|heroncleat|heroncleatd|export) /.test(line)
  );
  return commands.map((line) => line.trim().split(/ {2,}/)[0]!);
}

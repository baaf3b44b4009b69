/**
 * Runs the first command of README.md in a fresh clone of the last commit and
 * checks its output.
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const COMMAND_TIMEOUT_MS = 10 * 60_000;
const folder = mkdtempSync(join(tmpdir(), "heroncleat-clone-"));

try {
  run("git", ["clone", "--quiet", process.cwd(), folder]);
  const command = findFirstCommand(join(folder, "README.md"));
  const output = run("bash", ["-c", command], folder);
  checkOutput(command, output);
  console.log(`${command}: works in a fresh clone`);
} finally {
  rmSync(folder, { recursive: true, force: true });
}

function run(program, args, cwd = process.cwd()) {
  const { status, stdout, stderr } = spawnSync(program, args, {
    cwd,
    encoding: "utf8",
    timeout: COMMAND_TIMEOUT_MS,
    // The clone must use only the tools that it installs itself.
    env: { ...process.env, PATH: pathWithout("node_modules") },
  });
  if (status !== 0) {
    fail(`${args.at(-1)} exited with status ${status}:\n${stdout}${stderr}`);
  }
  return stdout;
}

function pathWithout(folderName) {
  return process.env.PATH.split(":").filter((entry) =>
    !entry.includes(folderName)
  )
    .join(":");
}

/** Returns the first indented line under the heading "Try it". */
function findFirstCommand(file) {
  const text = readFileSync(file, "utf8");
  const match = text.match(/## Try it[\s\S]*?\n {4}(\S.*)\n/);
  if (match === null) {
    fail('README.md has no command under "Try it".');
  }
  return match[1];
}

/** Requires an answer of several words and nine processes without an error. */
function checkOutput(command, output) {
  const answer = output.match(/Answer:(.*)\n/)?.[1]?.trim() ?? "";
  const hasAnswer = answer.split(/\s+/).length > 3;
  if (!hasAnswer || !output.includes("Stopped 9 processes, 0 with an error")) {
    fail(
      `${command} didn't print a complete answer and a clean shutdown:\n${output}`,
    );
  }
}

function fail(problem) {
  rmSync(folder, { recursive: true, force: true });
  console.error(problem);
  process.exit(1);
}

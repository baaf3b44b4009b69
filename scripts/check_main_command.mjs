/**
 * Runs the README's first command in a fresh clone of the last commit, as a
 * newcomer would, and checks what it prints.
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const TIMEOUT = 10 * 60_000;
const folder = mkdtempSync(join(tmpdir(), "heroncleat-clone-"));

try {
  run("git", ["clone", "--quiet", process.cwd(), folder]);
  const command = firstCommandOf(join(folder, "README.md"));
  const output = run("bash", ["-c", command], folder);
  check(command, output);
  console.log(`${command}: answers in a fresh clone`);
} finally {
  rmSync(folder, { recursive: true, force: true });
}

function run(program, words, cwd = process.cwd()) {
  const { status, stdout, stderr } = spawnSync(program, words, {
    cwd,
    encoding: "utf8",
    timeout: TIMEOUT,
    // A clone builds for itself.
    env: { ...process.env, PATH: pathWithout("node_modules") },
  });
  if (status !== 0) {
    fail(`${words.at(-1)} ended with ${status}:\n${stdout}${stderr}`);
  }
  return stdout;
}

function pathWithout(part) {
  return process.env.PATH.split(":").filter((each) => !each.includes(part))
    .join(":");
}

/** The first indented line under "Try it". */
function firstCommandOf(file) {
  const text = readFileSync(file, "utf8");
  const found = text.match(/## Try it[\s\S]*?\n {4}(\S.*)\n/);
  if (found === null) {
    fail('README.md has no command under "Try it".');
  }
  return found[1];
}

/** An answer of some words, and nine processes that ended well. */
function check(command, output) {
  const answer = output.match(/Answer:(.*)\n/)?.[1]?.trim() ?? "";
  const hasAnswer = answer.split(/\s+/).length > 3;
  if (!hasAnswer || !output.includes("Stopped 9 processes, 0 with an error")) {
    fail(`${command} printed no whole answer:\n${output}`);
  }
}

function fail(problem) {
  rmSync(folder, { recursive: true, force: true });
  console.error(problem);
  process.exit(1);
}

import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";

const SUSPENDED = 2000;
const TOLERANCE = 250;
/** Prints both clocks each 20 ms. */
const PROGRAM = `
  import { createSystemClock } from "@heroncleat/base";
  const clock = createSystemClock();
  setInterval(() => {
    console.log(JSON.stringify([performance.now(), clock.steady()]));
  }, 20);
`;

/** Readings before and after the suspension. */
const READINGS = 50;

function linesOf(output: string): number {
  return output.split("\n").length - 1;
}

async function printed(output: () => string, lines: number): Promise<void> {
  while (linesOf(output()) < lines) {
    await pause(20);
  }
}

// A VM is suspended: its processes stand still, and their monotonic clock with
// them. Nobody in the process noticed, and all it knew seemed younger than it
// was by that time.
test("a process whose VM was suspended counts that time", async () => {
  const folder = mkdtempSync(join(tmpdir(), "heroncleat-suspended-"));
  const faults = join(folder, "faults.json");
  const preload = join(__dirname, "inject_faults.mjs");
  const words = ["--import", preload, "--input-type=module", "-e", PROGRAM];
  const child = spawn(process.execPath, words, {
    env: { ...process.env, SOAK_FAULTS: faults },
  });
  let output = "";
  child.stdout.on("data", (bytes) => output += bytes);
  child.stderr.on("data", (bytes) => output += bytes);
  try {
    // A process that is stopped before it runs knows of no suspension.
    await printed(() => output, READINGS);
    child.kill("SIGSTOP");
    await pause(SUSPENDED);
    writeFileSync(faults, JSON.stringify({ suspendedFor: SUSPENDED }));
    const before = linesOf(output);
    child.kill("SIGCONT");
    await printed(() => output, before + READINGS);
  } finally {
    child.kill("SIGKILL");
    rmSync(folder, { recursive: true });
  }
  const whole = output.slice(0, output.lastIndexOf("\n"));
  const readings = whole.split("\n")
    .map((line) => JSON.parse(line) as [number, number]);
  const [first, last] = [readings.at(0)!, readings.at(-1)!];
  const monotonic = last[0] - first[0];
  const steady = last[1] - first[1];
  expect(steady - monotonic).toBeGreaterThan(SUSPENDED - TOLERANCE);
  expect(steady - monotonic).toBeLessThan(SUSPENDED + TOLERANCE);
}, 60_000);

import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";

const SUSPENSION_MS = 2000;
const TOLERANCE_MS = 250;
/** Prints the monotonic and the steady clock every 20 ms. */
const PROGRAM = `
  import { createSystemClock } from "@heroncleat/base";
  const clock = createSystemClock();
  setInterval(() => {
    console.log(JSON.stringify([performance.now(), clock.steady()]));
  }, 20);
`;

/** Clock readings before and after the suspension. */
const READINGS = 50;

function countLines(output: string): number {
  return output.split("\n").length - 1;
}

async function waitForLines(
  output: () => string,
  lines: number,
): Promise<void> {
  while (countLines(output()) < lines) {
    await pause(20);
  }
}

// Guards against a steady clock that leaves out the time for which a VM was
// suspended, so that records seem younger than they are.
test(
  "the steady clock includes the time for which a VM was suspended",
  async () => {
    const folder = mkdtempSync(join(tmpdir(), "heroncleat-suspended-"));
    const faults = join(folder, "faults.json");
    const preload = join(__dirname, "inject_faults.mjs");
    const args = ["--import", preload, "--input-type=module", "-e", PROGRAM];
    const child = spawn(process.execPath, args, {
      env: { ...process.env, SOAK_FAULTS: faults },
    });
    let output = "";
    child.stdout.on("data", (bytes) => output += bytes);
    child.stderr.on("data", (bytes) => output += bytes);
    try {
      // A process that is stopped before it runs can't detect the suspension.
      await waitForLines(() => output, READINGS);
      child.kill("SIGSTOP");
      await pause(SUSPENSION_MS);
      writeFileSync(faults, JSON.stringify({ suspendedFor: SUSPENSION_MS }));
      const before = countLines(output);
      child.kill("SIGCONT");
      await waitForLines(() => output, before + READINGS);
    } finally {
      child.kill("SIGKILL");
      rmSync(folder, { recursive: true });
    }
    const completeLines = output.slice(0, output.lastIndexOf("\n"));
    const readings = completeLines.split("\n")
      .map((line) => JSON.parse(line) as [number, number]);
    const [first, last] = [readings.at(0)!, readings.at(-1)!];
    const monotonic = last[0] - first[0];
    const steady = last[1] - first[1];
    expect(steady - monotonic).toBeGreaterThan(SUSPENSION_MS - TOLERANCE_MS);
    expect(steady - monotonic).toBeLessThan(SUSPENSION_MS + TOLERANCE_MS);
  },
  60_000,
);

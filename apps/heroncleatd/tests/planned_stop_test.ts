import { spawn, spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { open } from "node:fs/promises";
import { setTimeout as pause } from "node:timers/promises";
import { waitFor } from "@heroncleat/local_deployment";
import { LiveDeployment } from "./live_deployment.ts";

const live = new LiveDeployment({
  firstPort: 23_600,
  controls: 1,
  entries: 2,
  engines: 1,
  services: 1,
});

beforeAll(() => live.start());
afterAll(() => live.stop());

// Guards against calls that a planned stop cuts while their service runs them.
test("an entry that is stopped answers the calls to services that it has accepted", async () => {
  await live.waitUntilServing();
  const { statuses } = await startRuns(0);
  live.processes.signal("entry-1", "SIGTERM");
  expect(await statuses).toEqual([200, 200, 200]);
  expect(await live.processes.waitForExit("entry-1")).toBe(0);
});

// Guards against calls that are cut because their entry is told to stop twice.
test("an entry answers what it has accepted when it gets further signals", async () => {
  const { statuses } = await startRuns(1);
  for (const signal of ["SIGTERM", "SIGTERM", "SIGINT", "SIGHUP"] as const) {
    live.processes.signal("entry-2", signal);
    await pause(50);
  }
  expect(await statuses).toEqual([200, 200, 200]);
  expect(await live.processes.waitForExit("entry-2")).toBe(0);
});

// Guards against a signal that ends a process while it reads its settings.
test("a process that is told to stop while it starts exits cleanly", async () => {
  const { settingsFile } = live.deployment.entries[0]!;
  const pipe = `${settingsFile}.pipe`;
  spawnSync("mkfifo", [pipe]);
  const child = spawn(process.execPath, [
    "apps/heroncleatd/dist/main.js",
    "--settings",
    pipe,
  ]);
  const exit = new Promise<unknown[]>((resolve) => {
    child.once("exit", (...result) => resolve(result));
  });
  const writer = await open(pipe, "w");
  child.kill("SIGTERM");
  await writer.writeFile(readFileSync(settingsFile));
  await writer.close();
  expect(await exit).toEqual([0, null]);
});

/**
 * Sends three slow calls to an entry, and waits until they run.
 *
 * @returns Their statuses; 0 for a call without a response.
 */
async function startRuns(
  entry: number,
): Promise<{ readonly statuses: Promise<number[]> }> {
  await live.callStandIn("booking-1", { behaviour: "slow" });
  const { length } = (await live.callStandIn("booking-1")).runs;
  const calls = [1, 2, 3].map(async (number) => {
    try {
      return (await live.bookTable(entry, `key-${entry}-${number}`)).status;
    } catch {
      return 0;
    }
  });
  await waitFor("The runs", {
    timeout: 10_000,
    check: async () =>
      (await live.callStandIn("booking-1")).runs.length === length + 3 ||
      undefined,
  });
  return { statuses: Promise.all(calls) };
}

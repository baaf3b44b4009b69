import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { pathToFileURL } from "node:url";
import { waitFor } from "@heroncleat/local_deployment";
import { request } from "undici";
import { LiveDeployment } from "./live_deployment.ts";

const DAEMON = pathToFileURL(resolve("apps/heroncleatd/dist/main.js")).href;
/** The daemon, with an exception in an event at SIGUSR2. */
const FAILING_DAEMON = `process.on("SIGUSR2", () => { throw Error("thrown"); });
await import(${JSON.stringify(DAEMON)});
`;
const FAILED = 1;

const live = new LiveDeployment({
  firstPort: 26_600,
  controls: 1,
  entries: 2,
  engines: 1,
  services: 1,
  engine: { decodeInterval: 5 },
});
let folder: string;

beforeAll(async () => {
  folder = mkdtempSync(join(tmpdir(), "heroncleat-failing-entry-"));
  const script = join(folder, "failing_daemon.mjs");
  writeFileSync(script, FAILING_DAEMON);
  await live.start();
  await live.processes.stop(["entry-1", "entry-2"]);
  for (const { name, settingsFile } of live.deployment.entries) {
    const args = ["--settings", settingsFile];
    live.processes.start(name, { script, args });
  }
  await waitFor("The entries", {
    timeout: 20_000,
    check: () => live.waitUntilServing().then(() => true, () => undefined),
  });
});

afterAll(() => {
  live.stop();
  rmSync(folder, { recursive: true, force: true });
});

// Guards against an exception in one event that costs all callers their answers.
test("an entry that fails answers what it has accepted, refuses others and exits", async () => {
  const statuses = await startRuns(0);
  const stream = await startStream(0);
  live.processes.signal("entry-1", "SIGUSR2");
  live.processes.signal("entry-1", "SIGUSR2");
  await pause(50);
  expect([0, 503]).toContain(await send(0, "late"));
  expect(await statuses()).toEqual([200, 200, 200]);
  expect(await stream()).toContain("[DONE]");
  expect(await live.processes.waitForExit("entry-1")).toBe(FAILED);
});

// Guards against a failed process that reports that it was stopped.
test("an entry that fails while it stops answers what it has accepted", async () => {
  const statuses = await startRuns(1);
  live.processes.signal("entry-2", "SIGTERM");
  await pause(50);
  live.processes.signal("entry-2", "SIGUSR2");
  expect(await statuses()).toEqual([200, 200, 200]);
  expect(await live.processes.waitForExit("entry-2")).toBe(FAILED);
});

/** Sends three slow calls to an entry, and waits until they run. */
async function startRuns(entry: number): Promise<() => Promise<number[]>> {
  await live.callStandIn("booking-1", { behaviour: "slow" });
  const { length } = (await live.callStandIn("booking-1")).runs;
  const statuses = Promise.all(
    [1, 2, 3].map((number) => send(entry, `key-${entry}-${number}`)),
  );
  await waitFor("The runs", {
    timeout: 10_000,
    check: async () =>
      (await live.callStandIn("booking-1")).runs.length === length + 3 ||
      undefined,
  });
  return () => statuses;
}

/** Starts a streamed completion; the result resolves to what was received. */
async function startStream(entry: number): Promise<() => Promise<string>> {
  const { statusCode, body } = await request(
    `http://${live.callerAddresses[entry]}/v1/chat/completions`,
    {
      method: "POST",
      headers: { authorization: `Bearer ${live.key}` },
      body: JSON.stringify({
        model: "assistant",
        max_tokens: 200,
        stream: true,
        messages: [{ role: "user", content: "A table for two, please." }],
      }),
    },
  );
  expect(statusCode).toBe(200);
  const text = body.text().catch(String);
  return () => text;
}

/** Resolves to the status of the response, or to 0 if there was none. */
async function send(entry: number, key: string): Promise<number> {
  try {
    return (await live.bookTable(entry, key)).status;
  } catch {
    return 0;
  }
}

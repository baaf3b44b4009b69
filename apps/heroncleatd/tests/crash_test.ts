import { LiveDeployment } from "./live_deployment.ts";

const CRASHING_BODY = "end the process";
const UPSTREAMS = 8;
const DOWNTIME_MS = 1000;
const REPEATS = 25;
const PAUSE_MS = 250;
/** Crashes tolerated until all entries reject the request. */
const MAX_CRASHES = 6;
/** The same for a part of prompts: five, and three requests more. */
const MAX_CRASHES_OF_PART = 8;

const live = new LiveDeployment({
  firstPort: 24_000,
  controls: 3,
  entries: 3,
  engines: UPSTREAMS,
  services: UPSTREAMS,
  entrySettings: { upstream_lease: 1500 },
  upstream: (settings) => ({
    ...settings,
    announceInterval: 200,
    crashOn: CRASHING_BODY,
  }),
});

let crashes = 0;
let isStopping = false;
const restartLoops: Promise<void>[] = [];

const sleep = (time: number) =>
  new Promise((resolve) => setTimeout(resolve, time));

/** Restarts an upstream after each crash. */
async function restartAfterCrashes(name: string): Promise<void> {
  while (!isStopping) {
    await live.processes.waitForExit(name);
    crashes += isStopping ? 0 : 1;
    await sleep(DOWNTIME_MS);
    if (!isStopping) {
      live.restart(name);
    }
  }
}

beforeAll(async () => {
  await live.start();
  await live.waitUntilServing();
  for (const { name } of live.deployment.upstreams) {
    restartLoops.push(restartAfterCrashes(name));
  }
});

afterAll(async () => {
  isStopping = true;
  live.stop();
  await Promise.all(restartLoops);
});

beforeEach(() => {
  crashes = 0;
});

// Guards against entries that count only their own attempts, so that a caller
// could crash one upstream after the other by rotating between entries.
test.each([
  ["an idempotent call", "PUT", "/services/booking/confirm", 1000],
  ["a non-idempotent call", "POST", "/services/booking/confirm", 1000],
  ["a generation", "POST", "/v1/chat/completions", 3000],
])("%s that crashes upstreams is rejected at all entries", async (
  _,
  method,
  path,
  deadline,
) => {
  const body = path.includes("chat")
    ? JSON.stringify({
      model: "assistant",
      stream: true,
      max_tokens: 50,
      messages: [{ role: "user", content: `${CRASHING_BODY} by ${method}` }],
    })
    : `${CRASHING_BODY} by ${method}`;
  const statuses: number[] = [];
  for (let call = 0; call < REPEATS; call += 1) {
    const reply = await live.call(call % live.callerAddresses.length, path, {
      method,
      headers: {
        "content-type": "application/json",
        "heroncleat-deadline": String(deadline),
      },
      body,
    });
    statuses.push(reply.status);
    await sleep(PAUSE_MS);
  }
  expect(statuses.slice(-3)).toEqual([400, 400, 400]);
  // The caller knows of the request, so it isn't "not found".
  expect(statuses).not.toContain(404);
  expect(crashes).toBeGreaterThanOrEqual(3);
  expect(crashes).toBeLessThanOrEqual(MAX_CRASHES);
  // Other requests are still served.
  const other = await live.call(0, "/services/booking/confirm", {
    method: "PUT",
    body: "four at seven",
  });
  expect(other.status).toBe(200);
}, 90_000);

// Guards against a message that crashes one upstream after the other, as no two
// generations with it are alike.
test(
  "generations with a message that crashes upstreams are rejected, others with the same system message served",
  async () => {
    const send = async (count: number, messages: readonly string[]) => {
      const entry = count % live.callerAddresses.length;
      const reply = await live.call(entry, "/v1/chat/completions", {
        method: "POST",
        headers: {
          "content-type": "application/json",
          "heroncleat-deadline": "3000",
        },
        body: JSON.stringify({
          model: "assistant",
          stream: true,
          max_tokens: 5,
          messages: [
            { role: "system", content: "You seat guests." },
            ...messages.map((content) => ({ role: "user", content })),
          ],
        }),
      });
      await sleep(PAUSE_MS);
      return reply.status;
    };
    const statuses: number[] = [];
    const soundStatuses: number[] = [];
    for (let call = 0; call < REPEATS; call += 1) {
      statuses.push(await send(call, [CRASHING_BODY, `guest ${call}`]));
      soundStatuses.push(await send(call, [`table ${call}`]));
    }
    expect(statuses.slice(-3)).toEqual([400, 400, 400]);
    expect(crashes).toBeLessThanOrEqual(MAX_CRASHES_OF_PART);
    expect(soundStatuses.slice(-3)).toEqual([200, 200, 200]);
    expect(soundStatuses).not.toContain(400);
  },
  90_000,
);

import { LiveDeployment } from "./live_deployment.ts";

const CRASHING = "end the process";
const UPSTREAMS = 8;
const DOWNTIME = 1000;
const REPEATS = 25;
const PAUSE = 250;
/** Ends that are borne, and sends borne until all entries know of them. */
const MOST_ENDS = 6;

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
    crashOn: CRASHING,
  }),
});

let ends = 0;
let isOver = false;
const keepers: Promise<void>[] = [];

const sleep = (time: number) =>
  new Promise((resolve) => setTimeout(resolve, time));

/** Starts an upstream again whenever it has ended. */
async function keepUp(name: string): Promise<void> {
  while (!isOver) {
    await live.processes.waitForExit(name);
    ends += isOver ? 0 : 1;
    await sleep(DOWNTIME);
    if (!isOver) {
      live.restart(name);
    }
  }
}

beforeAll(async () => {
  await live.start();
  await live.allServing();
  for (const { name } of live.deployment.upstreams) {
    keepers.push(keepUp(name));
  }
});

afterAll(async () => {
  isOver = true;
  live.stop();
  await Promise.all(keepers);
});

beforeEach(() => {
  ends = 0;
});

// A caller sent one request to one entry after the other, and each upstream
// that began to run it ended: each entry knew of the ends under its own sendings
// only, and forgot them with the answer.
test.each([
  ["a call that may be repeated", "PUT", "/services/booking/confirm", 1000],
  ["a call that runs once", "POST", "/services/booking/confirm", 1000],
  ["a generation", "POST", "/v1/chat/completions", 3000],
])("%s that ends upstreams is rejected at all entries", async (
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
      messages: [{ role: "user", content: `${CRASHING} by ${method}` }],
    })
    : `${CRASHING} by ${method}`;
  const statuses: number[] = [];
  for (let call = 0; call < REPEATS; call += 1) {
    const answer = await live.call(call % live.callers.length, path, {
      method,
      headers: {
        "content-type": "application/json",
        "heroncleat-deadline": String(deadline),
      },
      body,
    });
    statuses.push(answer.status);
    await sleep(PAUSE);
  }
  expect(statuses.slice(-3)).toEqual([400, 400, 400]);
  expect(ends).toBeGreaterThanOrEqual(3);
  expect(ends).toBeLessThanOrEqual(MOST_ENDS);
  // Others are served by then.
  const other = await live.call(0, "/services/booking/confirm", {
    method: "PUT",
    body: "four at seven",
  });
  expect(other.status).toBe(200);
}, 90_000);

import { setTimeout as pause } from "node:timers/promises";
import { waitUntil } from "./wait_until.ts";
import { RestartingUpstream } from "./restarting_upstream.ts";
import { testDocument } from "./test_document.ts";
import { runOperatorTool } from "./run_operator_tool.ts";
import { TestGroup } from "./test_group.ts";

const FIRST_PORT = 25_700;
const UPSTREAM_COUNT = 14;
const ENTRY_COUNT = 2;
const DOWNTIME_MS = 2000;
/** Duration of the other requests, and the pause between two of them. */
const SERVICE_TIME_MS = 100;
const REQUEST_PAUSE_MS = 20;
/** Pause between two repetitions of the crashing request. */
const REPEAT_PAUSE_MS = 100;
const LOAD_DURATION_MS = 10_000;
/**
 * Crashes until a request is rejected, the time for all entries to receive the
 * reports, and the runs tolerated after that.
 */
const CRASHES_UNTIL_REJECTION = 3;
const PROPAGATION_TIME_MS = 3000;
const MAX_LATE_RUNS = 3;
/** Minimum share of the other requests that are served meanwhile. */
const MIN_SERVED_SHARE = 0.9;

const CRASHING_BODY = "crashes";
/** Body of the request that currently crashes upstreams. */
let crashingBody = CRASHING_BODY;
const POPULAR_BODY = "everybody asks this";

const group = new TestGroup(FIRST_PORT);
const runs: { body: string; at: number }[] = [];
const crashTimes: number[] = [];
const upstreams: RestartingUpstream[] = [];

beforeAll(async () => {
  await group.start({ entries: ENTRY_COUNT });
  await waitUntil(() => group.publish(0, testDocument(1)));
  for (let index = 0; index < UPSTREAM_COUNT; index += 1) {
    const replica = group.hubs[index % 4]!;
    const upstream = new RestartingUpstream({
      name: `desk-${index}`,
      port: FIRST_PORT + 30 + index,
      serviceTime: SERVICE_TIME_MS,
      downtime: DOWNTIME_MS,
      crashesOn: (body) => body === crashingBody,
      // A crashed control process receives no heartbeats.
      report: (record) => void replica.hub?.mergeUpstream(record),
      onRun: (body) => runs.push({ body, at: performance.now() }),
      onCrash: () => crashTimes.push(performance.now()),
    });
    upstreams.push(upstream);
    await upstream.start();
  }
  for (let index = 0; index < ENTRY_COUNT; index += 1) {
    await waitUntil(async () =>
      (await group.sendRequest(index)).status === 200
    );
  }
}, 40_000);

afterAll(async () => {
  await group.stop();
  for (const upstream of upstreams) {
    upstream.stop();
  }
});

// Sends other callers' requests at a fixed rate, with bodies that are all
// different or all the same.
async function generateLoad(
  bodyOf: (call: number) => string,
): Promise<{ served: number; rejected: number }> {
  const until = performance.now() + LOAD_DURATION_MS;
  const calls: Promise<number>[] = [];
  for (let call = 0; performance.now() < until; call += 1) {
    const response = group.sendRequest(call % ENTRY_COUNT, bodyOf(call));
    calls.push(response.then(({ status }) => status, () => 0));
    await pause(REQUEST_PAUSE_MS);
  }
  const statuses = await Promise.all(calls);
  const count = (matches: (status: number) => boolean) =>
    statuses.filter(matches).length / statuses.length;
  return {
    served: count((status) => status === 200),
    rejected: count((status) => status >= 400 && status < 500),
  };
}

// Guards against rejecting a harmless request that runs on many upstreams while
// they crash for other reasons.
test(
  "a request that runs on upstreams crashing for other reasons isn't rejected",
  async () => {
    const loadResult = generateLoad(() => POPULAR_BODY);
    for (let index = 0; index < 8; index += 1) {
      await pause(400);
      upstreams[index]!.crash("");
    }
    const { served, rejected } = await loadResult;
    expect(rejected).toBe(0);
    expect(served).toBeGreaterThan(MIN_SERVED_SHARE);
  },
  40_000,
);

// Guards against entries that treat each repetition of a crashing request as
// new, so that it crashes one upstream after another.
test(
  "a request that crashes every upstream is rejected after a few crashes",
  async () => {
    runs.length = 0;
    crashTimes.length = 0;
    const statuses: number[] = [];
    const repetition = (async () => {
      const until = performance.now() + LOAD_DURATION_MS;
      for (let call = 0; performance.now() < until; call += 1) {
        const response = await group.sendRequest(
          call % ENTRY_COUNT,
          CRASHING_BODY,
        );
        statuses.push(response.status);
        await pause(REPEAT_PAUSE_MS);
      }
    })();
    const { served, rejected } = await generateLoad((call) => `guest ${call}`);
    await repetition;
    const propagatedAt = (crashTimes[CRASHES_UNTIL_REJECTION - 1] ?? 0) +
      PROPAGATION_TIME_MS;
    const lateRuns = runs.filter(({ body, at }) =>
      body === CRASHING_BODY && at > propagatedAt
    );
    expect(crashTimes.length).toBeGreaterThanOrEqual(CRASHES_UNTIL_REJECTION);
    expect(lateRuns.length).toBeLessThanOrEqual(MAX_LATE_RUNS);
    expect(served).toBeGreaterThan(MIN_SERVED_SHARE);
    expect(rejected).toBe(0);
    // Callers don't retry after this status.
    expect(statuses.at(-1)).toBe(400);
  },
  40_000,
);

// Guards against losing the recorded crashes when all processes restart at
// once.
test(
  "a rejected request is still rejected after all processes restarted",
  async () => {
    runs.length = 0;
    await pause(500);
    await Promise.all([
      ...group.gateways.splice(0).map((gateway) => gateway.stop()),
      ...group.hubs.map((hub) => hub.crash()),
    ]);
    await Promise.all(
      group.hubs.map((hub) => hub.start({ isFirstStart: false })),
    );
    for (let index = 0; index < ENTRY_COUNT; index += 1) {
      await group.startEntry(index);
      await waitUntil(async () =>
        (await group.sendRequest(index)).status === 200
      );
      expect((await group.sendRequest(index, CRASHING_BODY)).status).toBe(400);
    }
    expect(runs.filter(({ body }) => body === CRASHING_BODY)).toHaveLength(0);
  },
  60_000,
);

// A new release of the upstreams may handle the request.
test(
  "an operator lists a rejected request and clears it",
  async () => {
    const listed = await runOperatorTool(FIRST_PORT, ["suspects"]);
    const rejected = listed.split("\n").find((line) =>
      line.includes("rejected")
    );
    expect(rejected).toMatch(/ desk +7 /);
    const digest = rejected!.split(" ")[0]!;
    crashingBody = "no longer";
    expect(await runOperatorTool(FIRST_PORT, ["suspect-clear", digest]))
      .toContain(
        `cleared ${digest}`,
      );
    for (let index = 0; index < ENTRY_COUNT; index += 1) {
      await waitUntil(async () =>
        (await group.sendRequest(index, CRASHING_BODY)).status === 200
      );
    }
    expect(await runOperatorTool(FIRST_PORT, ["suspects"])).not.toContain(
      digest,
    );
    expect(await runOperatorTool(FIRST_PORT, ["suspect-clear", digest]))
      .toContain(
        "Remedy",
      );
    crashingBody = CRASHING_BODY;
  },
  60_000,
);

// Guards against isolated entries that each allow the full number of crashes.
test(
  "entries exchange crash reports while no control replica responds",
  async () => {
    await Promise.all(group.hubs.map((hub) => hub.crash()));
    await pause(2000);
    crashingBody = "crashes without replicas";
    crashTimes.length = 0;
    const statuses: number[] = [];
    for (let call = 0; call < 20; call += 1) {
      statuses.push(
        (await group.sendRequest(call % ENTRY_COUNT, crashingBody)).status,
      );
      await pause(3 * REPEAT_PAUSE_MS);
    }
    expect(statuses.slice(-ENTRY_COUNT)).toEqual([400, 400]);
    expect(crashTimes.length).toBeLessThan(
      ENTRY_COUNT * CRASHES_UNTIL_REJECTION,
    );
  },
  60_000,
);

import { setTimeout as pause } from "node:timers/promises";
import { eventually } from "./eventually.ts";
import { RestartingUpstream } from "./restarting_upstream.ts";
import { documentOf } from "./test_document.ts";
import { runTool } from "./run_tool.ts";
import { TestGroup } from "./test_group.ts";

const FIRST_PORT = 25_700;
const UPSTREAMS = 14;
const ENTRIES = 2;
const DOWNTIME = 2000;
/** Time that a request of the others takes, and the pause between two. */
const WORK = 100;
const PAUSE = 20;
/** The request that ends upstreams comes again after this pause. */
const REPEAT_PAUSE = 100;
const PLAYED = 10_000;
/** Ends that are borne, time to tell all entries, and sends borne after it. */
const ENDS_BORNE = 3;
const TELLING_TIME = 3000;
const SENDS_BORNE = 3;
/** Part of the others' requests that must be served meanwhile. */
const SERVED = 0.9;

const CRASHING = "crashes";
/** What ends upstreams now. */
let crashing = CRASHING;
const POPULAR = "everybody asks this";

const group = new TestGroup(FIRST_PORT);
const runs: { body: string; at: number }[] = [];
const ends: number[] = [];
const upstreams: RestartingUpstream[] = [];

beforeAll(async () => {
  await group.start({ entries: ENTRIES });
  await eventually(() => group.publish(0, documentOf(1)));
  for (let at = 0; at < UPSTREAMS; at += 1) {
    const replica = group.hubs[at % 4]!;
    const upstream = new RestartingUpstream({
      name: `desk-${at}`,
      port: FIRST_PORT + 30 + at,
      work: WORK,
      downtime: DOWNTIME,
      endsIt: (body) => body === crashing,
      // One that is lost takes no heartbeats.
      report: (record) => void replica.hub?.mergeUpstream(record),
      onRun: (body) => runs.push({ body, at: performance.now() }),
      onEnd: () => ends.push(performance.now()),
    });
    upstreams.push(upstream);
    await upstream.start();
  }
  for (let at = 0; at < ENTRIES; at += 1) {
    await eventually(async () => (await group.ask(at)).status === 200);
  }
}, 40_000);

afterAll(async () => {
  await group.stop();
  for (const upstream of upstreams) {
    upstream.stop();
  }
});

// Other callers' request of which each one is another one, or the same.
async function load(
  bodyOf: (call: number) => string,
): Promise<{ served: number; rejected: number }> {
  const until = performance.now() + PLAYED;
  const calls: Promise<number>[] = [];
  for (let call = 0; performance.now() < until; call += 1) {
    const asked = group.ask(call % ENTRIES, bodyOf(call));
    calls.push(asked.then(({ status }) => status, () => 0));
    await pause(PAUSE);
  }
  const statuses = await Promise.all(calls);
  const count = (isMeant: (status: number) => boolean) =>
    statuses.filter(isMeant).length / statuses.length;
  return {
    served: count((status) => status === 200),
    rejected: count((status) => status >= 400 && status < 500),
  };
}

// Eight upstreams end by themselves, one after the other, while the same
// harmless request is under way wherever they are.
test(
  "a request that is under way where upstreams end is not to blame",
  async () => {
    const loading = load(() => POPULAR);
    for (let at = 0; at < 8; at += 1) {
      await pause(400);
      upstreams[at]!.end("");
    }
    const { served, rejected } = await loading;
    expect(rejected).toBe(0);
    expect(served).toBeGreaterThan(SERVED);
  },
  40_000,
);

// One request ended each upstream that began to run it, and its caller came
// again, at any entry: up to 16 upstreams in a row ended under it, 12 of them
// after the third, and each took some ten requests of other callers with it. An
// entry remembered nothing of a request beyond its one answer, and no entry
// told another one, so that each copy was a new request. With this order of
// events upstreams ended some 60 times under one body, and 0.4 of the others'
// requests were served.
test(
  "a request that ends each upstream that runs it is not sent on for long",
  async () => {
    runs.length = 0;
    ends.length = 0;
    const statuses: number[] = [];
    const repeating = (async () => {
      const until = performance.now() + PLAYED;
      for (let call = 0; performance.now() < until; call += 1) {
        const asked = await group.ask(call % ENTRIES, CRASHING);
        statuses.push(asked.status);
        await pause(REPEAT_PAUSE);
      }
    })();
    const { served, rejected } = await load((call) => `guest ${call}`);
    await repeating;
    const told = (ends[ENDS_BORNE - 1] ?? 0) + TELLING_TIME;
    const late = runs.filter(({ body, at }) => body === CRASHING && at > told);
    expect(ends.length).toBeGreaterThanOrEqual(ENDS_BORNE);
    expect(late.length).toBeLessThanOrEqual(SENDS_BORNE);
    expect(served).toBeGreaterThan(SERVED);
    expect(rejected).toBe(0);
    // Callers don't repeat what gets this status.
    expect(statuses.at(-1)).toBe(400);
  },
  40_000,
);

// All processes lost their memory at once, and with it what they knew: the
// request ended as many upstreams again.
test(
  "a rejected request is rejected when all processes were lost",
  async () => {
    runs.length = 0;
    await pause(500);
    await Promise.all([
      ...group.gateways.splice(0).map((gateway) => gateway.stop()),
      ...group.hubs.map((hub) => hub.lose()),
    ]);
    await Promise.all(
      group.hubs.map((hub) => hub.start({ isFirstStart: false })),
    );
    for (let at = 0; at < ENTRIES; at += 1) {
      await group.startEntry(at);
      await eventually(async () => (await group.ask(at)).status === 200);
      expect((await group.ask(at, CRASHING)).status).toBe(400);
    }
    expect(runs.filter(({ body }) => body === CRASHING)).toHaveLength(0);
  },
  60_000,
);

// Upstreams of a new release may bear the request, which callers still have.
test(
  "an operator sees a rejected request and has it sent on again",
  async () => {
    const listed = await runTool(FIRST_PORT, ["suspects"]);
    const rejected = listed.split("\n").find((line) =>
      line.includes("rejected")
    );
    expect(rejected).toMatch(/ desk +7 /);
    const digest = rejected!.split(" ")[0]!;
    crashing = "no longer";
    expect(await runTool(FIRST_PORT, ["suspect-clear", digest])).toContain(
      `cleared ${digest}`,
    );
    for (let at = 0; at < ENTRIES; at += 1) {
      await eventually(async () =>
        (await group.ask(at, CRASHING)).status === 200
      );
    }
    expect(await runTool(FIRST_PORT, ["suspects"])).not.toContain(digest);
    expect(await runTool(FIRST_PORT, ["suspect-clear", digest])).toContain(
      "Remedy",
    );
    crashing = CRASHING;
  },
  60_000,
);

// Cut off from all replicas, each entry knew of the ends that it had seen, and a
// caller that came to one after the other had three upstreams end at each.
test("entries tell each other while no replica answers", async () => {
  await Promise.all(group.hubs.map((hub) => hub.lose()));
  await pause(2000);
  crashing = "crashes unheard of";
  ends.length = 0;
  const statuses: number[] = [];
  for (let call = 0; call < 20; call += 1) {
    statuses.push((await group.ask(call % ENTRIES, crashing)).status);
    await pause(3 * REPEAT_PAUSE);
  }
  expect(statuses.slice(-ENTRIES)).toEqual([400, 400]);
  expect(ends.length).toBeLessThan(ENTRIES * ENDS_BORNE);
}, 60_000);

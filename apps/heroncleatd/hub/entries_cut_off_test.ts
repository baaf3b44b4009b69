import { setTimeout as pause } from "node:timers/promises";
import type { Log } from "../common/log.ts";
import type { LinkFailure } from "./link_failure.ts";
import { RestartingUpstream } from "./restarting_upstream.ts";
import { RouteKind } from "@heroncleat/serving";
import { testDocument } from "./test_document.ts";
import { TestGroup } from "./test_group.ts";
import { TestLinks } from "./test_links.ts";
import { waitUntil } from "./wait_until.ts";

const FIRST_PORT = 27_500;
const ENTRY_COUNT = 6;
const UPSTREAM_COUNT = 6;
const SERVICE_TIME_MS = 20;
/** Pause between two requests of all callers together. */
const REQUEST_PAUSE_MS = 11;
/** Time from the beginning of a cut in which it may be noticed. */
const NOTICE_TIME_MS = 3000;
const CUT_DURATION_MS = 7000;
const RECOVERY_TIME_MS = 2000;
/** Share of requests served that is asked for, of that at other entries. */
const MIN_SERVED_AT_FIRST = 0.9;
const MIN_SERVED_LATER = 0.95;

/** Time in which a request is refused once the cut is known. */
const MAX_REFUSAL_TIME_MS = 250;
/** Requests below this path may run once only. */
const ONCE_PATH = "/once/";

const group = new TestGroup(FIRST_PORT);
const links: TestLinks[] = [];
const upstreams: RestartingUpstream[] = [];
/** How often each request ran, by its body. */
const runs = new Map<string, number>();

/** Lines of the entries about requests that weren't served, and of cuts. */
const unservedLog: string[] = [];
let cutAt = 0;

function createUnservedLog(entry: number): Log {
  const record: Log["info"] = (message, context = {}) => {
    if (context["status"] !== 200) {
      const at = Math.round(performance.now() - cutAt);
      unservedLog.push(
        `${at} ms entry-${entry} ${message} ${JSON.stringify(context)}`,
      );
    }
  };
  return { debug: record, info: record, warn: record, error: record };
}

beforeAll(async () => {
  group.logOf = (entry) => createUnservedLog(entry);
  for (let index = 0; index < ENTRY_COUNT; index += 1) {
    links.push(await TestLinks.start());
  }
  await group.start({
    entries: ENTRY_COUNT,
    connectOf: (entry) => (options) => links[entry]!.connect(options),
  });
  const [route] = testDocument(1).routes;
  const once = { ...route!, name: "once", pathPrefix: ONCE_PATH };
  await waitUntil(() =>
    group.publish(0, {
      ...testDocument(1),
      routes: [route!, { ...once, kind: RouteKind.nonIdempotent }],
    })
  );
  for (let index = 0; index < UPSTREAM_COUNT; index += 1) {
    const upstream = new RestartingUpstream({
      name: `desk-${index}`,
      port: FIRST_PORT + 30 + index,
      serviceTime: SERVICE_TIME_MS,
      downtime: 0,
      crashesOn: () => false,
      report: (record) =>
        void group.hubs[index % 4]!.hub?.mergeUpstream(record),
      onRun: (body) => runs.set(body, (runs.get(body) ?? 0) + 1),
      onCrash: () => {},
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
  for (const entryLinks of links) {
    entryLinks.close();
  }
});

/** The result of one request of a caller that stays at its entry. */
type CallResult = {
  readonly entry: number;
  readonly body: string;
  readonly isOnce: boolean;
  /** Time since the beginning of the load. */
  readonly at: number;
  readonly status: number;
  readonly took: number;
};

let requestCount = 0;

async function generateLoad(duration: number): Promise<CallResult[]> {
  const from = performance.now();
  const calls: Promise<CallResult>[] = [];
  while (performance.now() < from + duration) {
    requestCount += 1;
    const entry = requestCount % ENTRY_COUNT;
    const sentAt = performance.now();
    const isOnce = requestCount % 2 === 0;
    const body = `guest ${requestCount}`;
    const status = group.sendRequest(entry, body, isOnce ? ONCE_PATH : "/")
      .then((response) => response.status, () => 0);
    calls.push(status.then((received) => ({
      entry,
      body,
      isOnce,
      at: sentAt - from,
      status: received,
      took: performance.now() - sentAt,
    })));
    await pause(REQUEST_PAUSE_MS);
  }
  return await Promise.all(calls);
}

/** No request that may run once runs twice; a refused one doesn't run. */
function checkRuns(results: readonly CallResult[]): void {
  for (const { body, isOnce, status } of results) {
    const count = runs.get(body) ?? 0;
    if (isOnce) {
      expect(count).toBeLessThanOrEqual(status === 503 ? 0 : 1);
    }
  }
}

function servedShare(results: readonly CallResult[]): number {
  const served = results.filter(({ status }) => status === 200);
  return served.length / results.length;
}

/** Plays a cut of some entries; returns how callers were served. */
async function playCut(entries: readonly number[], failure: LinkFailure) {
  unservedLog.length = 0;
  cutAt = performance.now();
  for (const entry of entries) {
    links[entry]!.fail(failure);
  }
  const during = await generateLoad(CUT_DURATION_MS);
  for (const entry of entries) {
    links[entry]!.restore();
  }
  await pause(RECOVERY_TIME_MS);
  const after = await generateLoad(1000);
  checkRuns([...during, ...after]);
  const isCutOff = ({ entry }: CallResult) => entries.includes(entry);
  const there = during.filter(isCutOff);
  return {
    atFirst: servedShare(there.filter(({ at }) => at < NOTICE_TIME_MS)),
    later: servedShare(there.filter(({ at }) => at >= NOTICE_TIME_MS)),
    elsewhere: servedShare(during.filter((result) => !isCutOff(result))),
    after: servedShare(after),
  };
}

describe("callers of entries that reach no upstream are served", () => {
  const cuts: [string, number[], LinkFailure][] = [
    ["2 of 6, links refused", [0, 1], "refused"],
    ["2 of 6, links silent", [2, 3], "silent"],
    ["5 of 6, links silent", [0, 1, 2, 4, 5], "silent"],
    ["2 of 6, only new links refused", [4, 5], "new_refused"],
  ];

  test.each(cuts)("%s", async (_name, entries, failure) => {
    const served = await playCut(entries, failure);
    if (served.atFirst / served.elsewhere < MIN_SERVED_AT_FIRST) {
      console.error(unservedLog.join("\n"));
    }
    expect(served.elsewhere).toBeGreaterThanOrEqual(0.98);
    expect(served.atFirst / served.elsewhere)
      .toBeGreaterThanOrEqual(MIN_SERVED_AT_FIRST);
    expect(served.later / served.elsewhere)
      .toBeGreaterThanOrEqual(MIN_SERVED_LATER);
    expect(served.after).toBeGreaterThanOrEqual(MIN_SERVED_LATER);
  });
});

test("callers are refused at once while no entry reaches an upstream", async () => {
  for (const entryLinks of links) {
    entryLinks.fail("silent");
  }
  const during = await generateLoad(CUT_DURATION_MS);
  for (const entryLinks of links) {
    entryLinks.restore();
  }
  await pause(RECOVERY_TIME_MS);
  checkRuns(during);
  const later = during.filter(({ at }) => at >= NOTICE_TIME_MS);
  expect(later.every(({ status }) => status === 503)).toBe(true);
  expect(Math.max(...later.map(({ took }) => took)))
    .toBeLessThan(MAX_REFUSAL_TIME_MS);
  expect(servedShare(await generateLoad(1000)))
    .toBeGreaterThanOrEqual(MIN_SERVED_LATER);
});

import { setTimeout as pause } from "node:timers/promises";
import type { Log } from "../common/log.ts";
import { RouteKind, type ServingDocument } from "@heroncleat/serving";
import { RestartingUpstream } from "./restarting_upstream.ts";
import { testDocument } from "./test_document.ts";
import { TEST_PARTS_HEADER } from "./test_parts_header.ts";
import { TestGroup } from "./test_group.ts";
import { waitUntil } from "./wait_until.ts";

const FIRST_PORT = 27_300;
const UPSTREAM_COUNT = 14;
const ENTRY_COUNT = 6;
const DOWNTIME_MS = 2000;
const SERVICE_TIME_MS = 100;
const REQUEST_PAUSE_MS = 25;
/** Pause between two requests with the part that crashes upstreams. */
const CRASH_PAUSE_MS = 250;
const LOAD_DURATION_MS = 11_000;
/** Crashes that are allowed, and the time for all entries to learn of them. */
const ALLOWED_CRASHES = 5;
const PROPAGATION_TIME_MS = 3000;
const MAX_LATE_RUNS = 3;
/** Minimum share of sound requests that are served once all have learned. */
const MIN_SERVED_SHARE = 0.95;
const PART_MESSAGE = "Upstreams crash on a part of prompts";

const group = new TestGroup(FIRST_PORT);
const upstreams: RestartingUpstream[] = [];
const runTimes: number[] = [];
/** What the entries log about rejected parts and requests. */
const rejectionLog: string[] = [];
let crashCount = 0;
let fifthCrashAt = Infinity;
/** The part that crashes upstreams now. */
let crashingPart = "";

beforeAll(async () => {
  group.logOf = (entry) => createRejectionLog(entry);
  await group.start({ entries: ENTRY_COUNT });
  await waitUntil(() => group.publish(0, createDocument()));
  for (let index = 0; index < UPSTREAM_COUNT; index += 1) {
    const replica = group.hubs[index % 4]!;
    const upstream = new RestartingUpstream({
      name: `desk-${index}`,
      port: FIRST_PORT + 30 + index,
      serviceTime: SERVICE_TIME_MS,
      downtime: DOWNTIME_MS,
      crashesOn: (_body, headers) => hasCrashingPart(headers),
      isStream: (path) => path.includes("stream"),
      isUnframed: (path) => path.includes("unframed"),
      report: (record) => void replica.hub?.mergeUpstream(record),
      onRun: (_body, headers) => {
        if (hasCrashingPart(headers)) {
          runTimes.push(performance.now());
        }
      },
      onCrash: () => {
        crashCount += 1;
        fifthCrashAt = crashCount === ALLOWED_CRASHES
          ? performance.now()
          : fifthCrashAt;
      },
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

function createRejectionLog(entry: number): Log {
  const record: Log["info"] = (message, context = {}) => {
    if (message.startsWith(PART_MESSAGE) || context["status"] === 400) {
      const at = Math.round(performance.now());
      rejectionLog.push(
        `${at} entry-${entry} ${message} ${JSON.stringify(context)}`,
      );
    }
  };
  return { debug: record, info: record, warn: record, error: record };
}

/** Routes that answer with bodies, and others that answer with streams. */
function createDocument(): ServingDocument {
  const document = testDocument(1);
  const route = { ...document.routes[0]!, timeout: 3000 };
  return {
    ...document,
    routes: [route, {
      ...route,
      name: "streams",
      pathPrefix: "/stream",
      kind: RouteKind.streaming,
    }],
  };
}

function hasCrashingPart(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean {
  return String(headers[TEST_PARTS_HEADER]).split(",").includes(crashingPart);
}

type Sent = { readonly at: number; readonly status: number };

/** Sends requests to all entries in turn until a time. */
async function sendUntil(
  until: number,
  { interval, path, partsOf }: {
    interval: number;
    path: string;
    partsOf: (count: number) => readonly string[];
  },
): Promise<Sent[]> {
  const sent: Promise<Sent>[] = [];
  for (let count = 0; performance.now() < until; count += 1) {
    const at = performance.now();
    const entry = count % ENTRY_COUNT;
    const parts = [...partsOf(count), `own ${Math.random()}`];
    const response = group.sendRequest(entry, `${Math.random()}`, path, parts);
    sent.push(response.then(
      ({ status }) => ({ at, status }),
      () => ({ at, status: 0 }),
    ));
    await pause(interval);
  }
  return await Promise.all(sent);
}

// Guards against a part of a prompt that crashes one upstream after the other,
// as no two requests with it are alike.
test.each([
  ["calls, the part is the second of four", "/call", ["a", "bad", "b"]],
  ["calls, the part comes first", "/call", ["bad", "a", "b"]],
  ["calls without a length", "/unframed", ["a", "bad", "b"]],
  ["streams", "/stream", ["a", "bad", "b"]],
  ["streams without chunks", "/stream/unframed", ["a", "bad", "b"]],
])(
  "a part that crashes upstreams reaches few after the fifth, sound requests are served: %s",
  async (name, path, order) => {
    crashingPart = `bad of ${name.replaceAll(",", "")}`;
    runTimes.length = 0;
    rejectionLog.length = 0;
    crashCount = 0;
    fifthCrashAt = Infinity;
    const parts = order.map((part) => part === "bad" ? crashingPart : part);
    const until = performance.now() + LOAD_DURATION_MS;
    const [crashing, sound] = await Promise.all([
      sendUntil(until, {
        interval: CRASH_PAUSE_MS,
        path,
        partsOf: () => parts,
      }),
      sendUntil(until, {
        interval: REQUEST_PAUSE_MS,
        path,
        partsOf: () => parts.filter((part) => part !== crashingPart),
      }),
    ]);
    const lateRuns = runTimes.filter((at) =>
      at > fifthCrashAt + PROPAGATION_TIME_MS
    );
    expect(lateRuns.length).toBeLessThanOrEqual(MAX_LATE_RUNS);
    const late = sound.filter(({ at }) =>
      at > fifthCrashAt + 2 * PROPAGATION_TIME_MS
    );
    const counted = fifthCrashAt === Infinity ? sound : late;
    const served = counted.filter(({ status }) => status === 200);
    expect(served.length / counted.length).toBeGreaterThan(MIN_SERVED_SHARE);
    const rejected = sound.filter(({ status }) => status === 400);
    expect({ rejected, log: rejected.length > 0 ? rejectionLog : [] })
      .toEqual({ rejected: [], log: [] });
    expect(crashing.at(-1)!.status).toBe(400);
  },
  60_000,
);

// Guards against refusing parts that half of the requests have in common.
test(
  "no shared part is rejected where upstreams crash for other reasons",
  async () => {
    const until = performance.now() + 6000;
    const sending = sendUntil(until, {
      interval: REQUEST_PAUSE_MS,
      path: "/call",
      partsOf: () => ["a", "b"],
    });
    for (let index = 0; index < 8; index += 1) {
      await pause(400);
      upstreams[index]!.crash("");
    }
    const sent = await sending;
    expect(sent.filter(({ status }) => status === 400)).toEqual([]);
    const served = sent.filter(({ status }) => status === 200);
    expect(served.length / sent.length).toBeGreaterThan(0.9);
  },
  40_000,
);

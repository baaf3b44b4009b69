import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RouteKind, type ServingDocument } from "@heroncleat/serving";
import { type PlayedStream, playStream } from "./play_stream.ts";
import { StreamingUpstream } from "./streaming_upstream.ts";
import { testDocument } from "./test_document.ts";
import { TestGroup } from "./test_group.ts";
import { TestLinks } from "./test_links.ts";
import { waitUntil } from "./wait_until.ts";

const FIRST_PORT = 29_500;
const ENTRY_COUNT = 6;
/** Streams below it are of two services. */
const SPLIT_PATH = "/split/";
/** Entries whose links to upstreams can fail; these come first. */
const CUT_OFF_COUNT = 2;
const UPSTREAMS_PER_VERSION = 6;
const STREAM_PAUSE_MS = 33;
const PHASE_DURATION_MS = 4000;
/** Time in which a new version is known and admitted everywhere. */
const SETTLE_TIME_MS = 2500;
const BROKEN_SHARE = 0.5;
/** Retries of all entries per window, beside a share of the requests. */
const FEW_RETRIES = 1;
/** Share of resumed streams that go on while their version has upstreams. */
const MIN_RESUMED_SHARE = 0.95;
const MIN_BEGUN_SHARE = 0.99;
const MAX_REFUSAL_TIME_MS = 250;

const group = new TestGroup(FIRST_PORT, [true, true, true]);
const links: TestLinks[] = [];
const running = new Map<string, StreamingUpstream[]>();
let breaksOff = false;

const streamRoute = {
  ...testDocument(1).routes[0]!,
  kind: RouteKind.streaming,
  isResumable: true,
  timeout: 5000,
  maxAttempts: 3,
};
const document: ServingDocument = {
  ...testDocument(1),
  routes: [streamRoute, {
    ...streamRoute,
    name: "split",
    pathPrefix: SPLIT_PATH,
    targets: [{ service: "desk", weight: 1 }, { service: "bar", weight: 1 }],
  }],
  services: ["desk", "bar"].map((name) => ({
    ...testDocument(1).services[0]!,
    name,
    maxConnections: 500,
  })),
};

beforeAll(async () => {
  for (let index = 0; index < CUT_OFF_COUNT; index += 1) {
    links.push(await TestLinks.start());
  }
  await group.start({
    entries: ENTRY_COUNT,
    connectOf: (entry) => (options) =>
      links[entry]?.connect(options) ?? connect(options),
  });
  await waitUntil(() => group.publish(0, document));
  await waitUntil(() => group.gateways.every((gateway) => gateway.isReady()));
  await startVersion("v1", 0);
  await startVersion("v2", UPSTREAMS_PER_VERSION);
  await pause(SETTLE_TIME_MS);
}, 60_000);

afterAll(async () => {
  for (const version of running.keys()) {
    stopVersion(version);
  }
  for (const entryLinks of links) {
    entryLinks.close();
  }
  await group.stop();
});

/** Starts the upstreams of a version at ports from an offset on. */
async function startVersion(
  version: string,
  offset: number,
  service = "desk",
): Promise<void> {
  const upstreams: StreamingUpstream[] = [];
  for (let index = 0; index < UPSTREAMS_PER_VERSION; index += 1) {
    const upstream = new StreamingUpstream({
      name: `${version}-${index}`,
      version,
      service,
      port: FIRST_PORT + 40 + offset + index,
      breaksAfter: () =>
        breaksOff && Math.random() < BROKEN_SHARE
          ? 3 + Math.floor(Math.random() * 12)
          : undefined,
      report: (record) =>
        void group.hubs[index % 3]!.hub?.mergeUpstream(record),
    });
    upstreams.push(upstream);
    await upstream.start();
  }
  running.set(version, upstreams);
}

function stopVersion(version: string): void {
  for (const upstream of running.get(version) ?? []) {
    upstream.stop();
  }
  running.delete(version);
}

/**
 * Plays streams of which some break off and are resumed by their callers, as
 * entries have few retries to go on with them within the answer.
 */
async function playResumedStreams(
  options: { path?: string } = {},
): Promise<PlayedStream[]> {
  const { retrySlack } = group;
  group.retrySlack = FEW_RETRIES;
  breaksOff = true;
  const streams = await playStreams({ ...options, resumes: true });
  breaksOff = false;
  group.retrySlack = retrySlack;
  return streams;
}

const listEntries = () =>
  group.gateways.map((_, index) => group.addressOf(index));

async function playStreams(
  { resumes, path, midway = () => {}, entries = listEntries }: {
    resumes: boolean;
    path?: string;
    /** Called after half of the time. */
    midway?: () => void;
    entries?: () => readonly string[];
  },
): Promise<PlayedStream[]> {
  const streams: Promise<PlayedStream>[] = [];
  const from = performance.now();
  let isMidway = false;
  while (performance.now() < from + PHASE_DURATION_MS) {
    if (!isMidway && performance.now() > from + PHASE_DURATION_MS / 2) {
      isMidway = true;
      midway();
    }
    streams.push(playStream(entries, { resumes, path }));
    await pause(STREAM_PAUSE_MS);
  }
  return await Promise.all(streams);
}

/** Streams whose first try brought events and no end. */
const resumedOf = (streams: readonly PlayedStream[]) =>
  streams.filter(({ tries }) =>
    tries.length > 1 && tries[0]!.events.length > 0
  );

function summarize(streams: readonly PlayedStream[]) {
  const share = (part: number, whole: number) => whole === 0 ? 1 : part / whole;
  const resumed = resumedOf(streams);
  return {
    atTwoVersions: streams.filter(({ versions }) => versions.size > 1).length,
    outOfOrder: streams.filter(({ isInOrder }) => !isInOrder).length,
    begun: share(
      streams.filter(({ hasBegun }) => hasBegun).length,
      streams.length,
    ),
    resumed: resumed.length,
    wentOn: share(
      resumed.filter(({ tries }) =>
        tries.slice(1).some(({ events }) => events.length > 0)
      ).length,
      resumed.length,
    ),
    whole: share(
      streams.filter(({ isWhole }) => isWhole).length,
      streams.length,
    ),
  };
}

/** Checks what holds in every phase, and returns the summary. */
function check(streams: readonly PlayedStream[]) {
  const summary = summarize(streams);
  expect(summary).toMatchObject({ atTwoVersions: 0, outOfOrder: 0 });
  return summary;
}

test("streams don't go on at another version than the one that began them", async () => {
  const undisturbed = check(await playStreams({ resumes: false }));
  expect(undisturbed).toMatchObject({ begun: 1, whole: 1 });
  breaksOff = true;
  check(await playStreams({ resumes: false }));
  breaksOff = false;
  const resumed = check(await playResumedStreams());
  expect(resumed.resumed).toBeGreaterThan(10);
  expect(resumed.wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
  expect(resumed.begun).toBeGreaterThanOrEqual(MIN_BEGUN_SHARE);
});

test("streams of a route to several services go on at the service that began them", async () => {
  await startVersion("bar", UPSTREAMS_PER_VERSION * 2, "bar");
  await pause(SETTLE_TIME_MS);
  const streams = await playResumedStreams({ path: SPLIT_PATH });
  const { resumed, wentOn } = check(streams);
  expect(resumed).toBeGreaterThan(10);
  expect(wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
});

test("streams of a version whose upstreams have all ended are refused at once", async () => {
  const streams = await playStreams({
    resumes: true,
    midway: () => stopVersion("v2"),
    // The links that can fail accept connections to upstreams that are gone.
    entries: () => listEntries().slice(CUT_OFF_COUNT),
  });
  const { begun } = check(streams);
  expect(begun).toBeGreaterThanOrEqual(MIN_BEGUN_SHARE);
  const ended = resumedOf(streams).filter(({ versions }) => versions.has("v2"));
  expect(ended.length).toBeGreaterThan(0);
  // A kept connection that fails doesn't tell whether the request ran.
  const later = ended.flatMap(({ tries }) => tries.slice(2));
  expect(later.length).toBeGreaterThan(0);
  expect(later.every(({ status }) => status === 503)).toBe(true);
  expect(Math.max(...later.map(({ took }) => took)))
    .toBeLessThan(MAX_REFUSAL_TIME_MS);
});

test("streams keep their version while entries reach no upstream and addresses come back with another version", async () => {
  await startVersion("v3", UPSTREAMS_PER_VERSION);
  await pause(SETTLE_TIME_MS);
  const [refusing, silent] = links;
  refusing!.fail("refused");
  silent!.fail("silent");
  const streams = await playResumedStreams();
  refusing!.restore();
  silent!.restore();
  const { resumed, wentOn } = check(streams);
  expect(resumed).toBeGreaterThan(10);
  expect(wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
});

test("streams of an entry that stops midway go on elsewhere at their version", async () => {
  await pause(SETTLE_TIME_MS);
  const stopping = ENTRY_COUNT - 1;
  let isStopped = false;
  let count = 0;
  const streams = await playStreams({
    resumes: true,
    midway: () => {
      isStopped = true;
      const [gateway] = group.gateways.splice(stopping, 1);
      void gateway!.stop();
    },
    entries: () => {
      count += 1;
      const others = listEntries().slice(0, stopping);
      return isStopped || count % 2 === 0
        ? others
        : [group.addressOf(stopping)];
    },
  });
  const { resumed, wentOn } = check(streams);
  expect(resumed).toBeGreaterThan(0);
  expect(wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
});

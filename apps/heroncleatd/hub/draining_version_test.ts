import { setTimeout as pause } from "node:timers/promises";
import {
  RouteKind,
  type ServingDocument,
  type UpstreamRecord,
} from "@heroncleat/serving";
import { type PlayedStream, playStream } from "./play_stream.ts";
import { StreamingUpstream } from "./streaming_upstream.ts";
import { testDocument } from "./test_document.ts";
import { TestGroup } from "./test_group.ts";
import { waitUntil } from "./wait_until.ts";

const FIRST_PORT = 27_900;
const ENTRY_COUNT = 6;
const UPSTREAMS_PER_VERSION = 6;
/**
 * Time for which an upstream still serves after its departure was acknowledged.
 */
const DRAIN_TIMEOUT_MS = 2000;
/**
 * Time before the drain timeout in which entries need send nothing more: a
 * request has to arrive before it, possibly over a new connection, and entries
 * know when the drain began only to within one exchange. They count from the
 * first report: any replica may have acknowledged it.
 */
const DRAIN_MARGIN_MS = 500;
/** Time after which no entry begins a stream at an upstream that drains. */
const NOTICE_TIME_MS = 1000;
/** Time in which a new version is known and admitted everywhere. */
const SETTLE_TIME_MS = 2500;
/** Time for which streams begin before the first upstream drains. */
const LEAD_TIME_MS = 2000;
/** Few retries leave it to the callers to go on with streams. */
const FEW_RETRIES = 1;
/** Retries for streams that can't go on for lack of nothing else. */
const AMPLE_RETRY_SLACK = 200;
const BROKEN_SHARE = 0.3;
const MIN_RESUMED_SHARE = 0.95;
const MIN_BEGUN_SHARE = 0.99;

/** One of the upstreams of the version that drains. */
type DrainingUpstream = {
  readonly server: StreamingUpstream;
  /** When it first reported that it drains. */
  reportedAt: number;
  /** When that was first acknowledged. */
  acknowledgedAt: number;
  endedAt: number;
};

/** What happens to the upstreams of a version, in ms from the first drain. */
type DrainPlan = {
  readonly version: string;
  readonly firstPort: number;
  readonly eventCount: number;
  /** Share of the runs at any upstream that break off. */
  readonly brokenShare: number;
  /** When each upstream reports that it drains. */
  readonly drainsAt: readonly number[];
  /** When each of the first upstreams crashes. */
  readonly crashesAt: readonly number[];
  /** How long the others serve after that. */
  readonly servesOn: number;
  /** Whether callers resume streams that break off. */
  readonly resumes: boolean;
  /** Pause between two new streams. */
  readonly streamPause: number;
  readonly duration: number;
};

const group = new TestGroup(FIRST_PORT, [true, true, true]);
const running: StreamingUpstream[] = [];
/** Share of the runs at any upstream that break off. */
let brokenShare = 0;

const document: ServingDocument = {
  ...testDocument(1),
  routes: [{
    ...testDocument(1).routes[0]!,
    kind: RouteKind.streaming,
    isResumable: true,
    timeout: 8000,
    maxAttempts: 3,
  }],
  services: [{ ...testDocument(1).services[0]!, maxConnections: 500 }],
};

beforeAll(async () => {
  await group.start({ entries: ENTRY_COUNT });
  await waitUntil(() => group.publish(0, document));
  await waitUntil(() => group.gateways.every((gateway) => gateway.isReady()));
  for (let index = 0; index < UPSTREAMS_PER_VERSION; index += 1) {
    await startUpstream({
      name: `stays-${index}`,
      version: "stays",
      port: FIRST_PORT + 40 + index,
      eventCount: 75,
    });
  }
}, 60_000);

afterAll(async () => {
  for (const upstream of running) {
    upstream.stop();
  }
  await group.stop();
});

async function startUpstream(
  options: { name: string; version: string; port: number; eventCount: number },
): Promise<DrainingUpstream> {
  const upstream: DrainingUpstream = {
    server: new StreamingUpstream({
      ...options,
      breaksAfter: () =>
        Math.random() < brokenShare
          ? 3 + Math.floor(Math.random() * 12)
          : undefined,
      report: (record) =>
        void report(upstream, { record, hub: options.port % 3 }),
    }),
    reportedAt: Infinity,
    acknowledgedAt: Infinity,
    endedAt: Infinity,
  };
  running.push(upstream.server);
  await upstream.server.start();
  return upstream;
}

/** Starts the upstreams of a version that drains. */
async function startVersion(plan: DrainPlan): Promise<DrainingUpstream[]> {
  const { version, firstPort, eventCount } = plan;
  const upstreams: DrainingUpstream[] = [];
  for (let index = 0; index < UPSTREAMS_PER_VERSION; index += 1) {
    const name = `${version}-${index}`;
    const port = firstPort + index;
    upstreams.push(
      await startUpstream({ name, version, port, eventCount }),
    );
  }
  await pause(SETTLE_TIME_MS);
  return upstreams;
}

/** Sends a report as in production, and notes its first acknowledgement. */
async function report(
  upstream: DrainingUpstream,
  { record, hub }: { record: UpstreamRecord; hub: number },
): Promise<void> {
  const outcome = await group.hubs[hub]!.hub?.mergeUpstream(record);
  if (record.state === "draining" && outcome?.kind === "accepted") {
    upstream.acknowledgedAt = Math.min(
      upstream.acknowledgedAt,
      performance.now(),
    );
  }
}

/** Plays streams while the upstreams of a version drain. */
async function playDrain(plan: DrainPlan) {
  const upstreams = await startVersion(plan);
  brokenShare = plan.brokenShare;
  const from = performance.now() + LEAD_TIME_MS;
  const end = (upstream: DrainingUpstream) => {
    upstream.endedAt = performance.now();
    upstream.server.stop();
  };
  const events = upstreams.map(async (upstream, index) => {
    await pause(from + plan.drainsAt[index]! - performance.now());
    upstream.reportedAt = performance.now();
    upstream.server.drain();
    const crashesAt = plan.crashesAt[index];
    await pause(
      crashesAt === undefined
        ? plan.servesOn
        : from + crashesAt - performance.now(),
    );
    end(upstream);
  });
  const streams: Promise<PlayedStream>[] = [];
  const listEntries = () =>
    group.gateways.map((_, index) => group.addressOf(index));
  while (performance.now() < from + plan.duration) {
    streams.push(playStream(listEntries, { resumes: plan.resumes }));
    await pause(plan.streamPause);
  }
  const played = await Promise.all(streams);
  await Promise.all(events);
  return summarize(plan, { played, upstreams });
}

function summarize(
  { version }: DrainPlan,
  { played, upstreams }: {
    played: readonly PlayedStream[];
    upstreams: readonly DrainingUpstream[];
  },
) {
  const share = (part: number, whole: number) => whole === 0 ? 1 : part / whole;
  const mayServe = (at: number) =>
    upstreams.some(({ reportedAt, endedAt }) =>
      at < endedAt && at < reportedAt + DRAIN_TIMEOUT_MS - DRAIN_MARGIN_MS
    );
  const ofVersion = played.filter(({ versions }) => versions.has(version));
  const resumed = ofVersion.flatMap(({ tries }) => {
    const begunAt = tries.findIndex(({ events }) => events.length > 0);
    return tries.slice(begunAt + 1).filter(({ sentAt }) => mayServe(sentAt));
  });
  const late = upstreams.flatMap(({ server, acknowledgedAt }) =>
    server.received.filter(({ at, isResumed }) =>
      at > acknowledgedAt + (isResumed ? DRAIN_TIMEOUT_MS : NOTICE_TIME_MS)
    )
  );
  const continued = upstreams.flatMap(({ server, acknowledgedAt }) =>
    server.received.filter(({ at, isResumed }) =>
      isResumed && at > acknowledgedAt
    )
  );
  return {
    atTwoVersions: played.filter(({ versions }) => versions.size > 1).length,
    outOfOrder: played.filter(({ isInOrder }) => !isInOrder).length,
    lateFirstTries: late.filter(({ isResumed }) => !isResumed).length,
    overDrain: late.filter(({ isResumed }) => isResumed).length,
    begun: share(
      played.filter(({ hasBegun }) => hasBegun).length,
      played.length,
    ),
    /** Tries that resume a stream while its version may be sent something. */
    resumed: resumed.length,
    wentOn: share(
      resumed.filter(({ events }) => events.length > 0).length,
      resumed.length,
    ),
    /** Streams of the version that drains, and how many came whole. */
    ofVersion: ofVersion.length,
    whole: ofVersion.filter(({ isWhole }) => isWhole).length,
    /** Runs that go on with a stream at an upstream that drains. */
    continued: continued.length,
  };
}

/** Checks what holds in every row. */
function check(summary: Awaited<ReturnType<typeof playDrain>>): void {
  expect(summary).toMatchObject({
    atTwoVersions: 0,
    outOfOrder: 0,
    lateFirstTries: 0,
    overDrain: 0,
  });
  expect(summary.begun).toBeGreaterThanOrEqual(MIN_BEGUN_SHARE);
}

// Guards against entries that refuse to go on with a stream while upstreams of
// its version still serve, because these drain.
describe("streams of a version that drains", () => {
  test("go on when callers resume them after most of its upstreams crashed", async () => {
    group.retrySlack = FEW_RETRIES;
    const summary = await playDrain({
      version: "a",
      firstPort: FIRST_PORT + 46,
      eventCount: 50,
      brokenShare: 0,
      drainsAt: [0, 0, 0, 0, 0, 0],
      crashesAt: [300, 300, 300, 300],
      servesOn: DRAIN_TIMEOUT_MS,
      resumes: true,
      streamPause: 25,
      duration: 3000,
    });
    check(summary);
    expect(summary.resumed).toBeGreaterThan(0);
    expect(summary.wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
  });

  test("go on when callers resume them while its upstreams drain in two waves", async () => {
    group.retrySlack = FEW_RETRIES;
    const summary = await playDrain({
      version: "b",
      firstPort: FIRST_PORT + 53,
      eventCount: 75,
      brokenShare: BROKEN_SHARE,
      drainsAt: [0, 0, 0, 1500, 1500, 1500],
      crashesAt: [],
      servesOn: 3000,
      resumes: true,
      streamPause: 16,
      duration: 4500,
    });
    check(summary);
    expect(summary.resumed).toBeGreaterThan(10);
    expect(summary.wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
  });

  test("go on within the answer, at upstreams that drain", async () => {
    group.retrySlack = AMPLE_RETRY_SLACK;
    const summary = await playDrain({
      version: "c",
      firstPort: FIRST_PORT + 60,
      eventCount: 30,
      brokenShare: 0,
      drainsAt: [0, 0, 0, 0, 0, 0],
      crashesAt: [300, 300, 800, 800],
      servesOn: 3000,
      resumes: false,
      streamPause: 40,
      duration: 2000,
    });
    check(summary);
    expect(summary.continued).toBeGreaterThan(0);
    expect(summary.whole / summary.ofVersion)
      .toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
  });
});

import { request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { createSystemClock } from "@heroncleat/base";
import {
  RouteKind,
  type ServingDocument,
  type SyncReply,
} from "@heroncleat/serving";
import { PeerPool, PeerServer } from "@heroncleat/transport";
import type { Log } from "../../common/log.ts";
import type { RunningGateway } from "../running_gateway.ts";
import { startGateway } from "../start_gateway.ts";
import { TestUpstream } from "../test_upstream.ts";
import { testHeaderNames } from "../test_header_names.ts";

const HOST = "127.0.0.22";
const HUB = `${HOST}:25450`;
const ADDRESS = `${HOST}:25451`;
const GRACE_PERIOD_MS = 4000;
/** Response times, sent as the body of a request. */
const LONG_RESPONSE_MS = 2600;
const SHORT_RESPONSE_MS = 50;
const silentLog: Log = { debug() {}, info() {}, warn() {}, error() {} };
const noMetrics = { increment() {}, gauge() {}, timing() {}, close() {} };

function route(
  name: string,
  kind: typeof RouteKind[keyof typeof RouteKind],
): ServingDocument["routes"][number] {
  return {
    name,
    host: "inn.example",
    pathPrefix: `/${name}/`,
    kind,
    targets: [{ service: "desk", weight: 1 }],
    timeout: 6000,
    latencyObjective: 500,
    priority: 1,
    maxAttempts: 1,
    isPublic: true,
    isResumable: false,
  };
}

const document: ServingDocument = {
  version: 1,
  routes: [
    route("long", RouteKind.streaming),
    route("short", RouteKind.streaming),
    route("book", RouteKind.nonIdempotent),
    route("unknown", RouteKind.nonIdempotent),
  ],
  services: [{
    name: "desk",
    maxConnections: 100,
    engine: undefined,
    scale: undefined,
  }],
  workspaces: [],
  limits: {
    maxHeaderBytes: 4096,
    maxBodyBytes: 4096,
    headerTimeout: 500,
    idleTimeout: 5000,
  },
};

type CallerResult = {
  status: number;
  body: string;
  isWhole: boolean;
  took: number;
};

let upstream: TestUpstream;
let hub: PeerServer;
let gateway: RunningGateway;
const pool = new PeerPool({ secret: "", connectTimeout: 500, localHost: "" });

beforeEach(async () => {
  upstream = await TestUpstream.start(({ message, body }, socket) => {
    const isStream = !message.url!.startsWith("/book/");
    const event = "id: 1\ndata: x\n\n";
    const length = isStream
      ? "Transfer-Encoding: chunked"
      : "Content-Length: 2";
    socket.write(
      "HTTP/1.1 200 OK\r\nx-digest: d\r\n" +
        `x-attempt: ${message.headers["x-attempt"]}\r\n` +
        (isStream ? "Content-Type: text/event-stream\r\n" : "") +
        `${length}\r\n\r\n`,
    );
    if (isStream) {
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    }
    setTimeout(
      () => socket.write(isStream ? "0\r\n\r\n" : "ok"),
      Number(body),
    );
  });
  hub = new PeerServer({ address: HUB, secret: "", onProblem: () => {} });
  hub.serve({ "hub.sync": () => reply() });
  await hub.listen();
  gateway = await startGateway({
    settings: () => ({
      name: "entry",
      zone: "a",
      region: "r",
      address: ADDRESS,
      noticeAddress: `${HOST}:25452`,
      relayAddress: "127.0.0.1:0",
      seeds: [HUB],
      quota: { isFresh: true, window: 1000, overshoot: 0, tolerance: 0 },
      retryRatio: 0.2,
      retryWindow: 1000,
      retrySlack: 10,
      usageWindow: 1000,
      drainTimeout: 2000,
      gracePeriod: GRACE_PERIOD_MS,
    }),
    names: testHeaderNames,
    readPrompt: () => undefined,
    decodeDocument: (source) => ({
      kind: "document",
      document: JSON.parse(source) as ServingDocument,
    }),
    pool,
    secret: "s",
    clock: createSystemClock(),
    log: () => silentLog,
    metrics: noMetrics,
  });
  while (!gateway.isReady()) {
    await pause(20);
  }
});

afterEach(async () => {
  await hub.close();
  upstream.close();
});

afterAll(() => {
  pool.close();
});

// Guards against requests that are accepted during a shutdown and cut off by
// its end, because the time they take isn't considered.
test(
  "an entry that shuts down accepts only requests that it can complete",
  async () => {
    await Promise.all(
      Array.from({ length: 10 }, () => [
        sendRequest("long", LONG_RESPONSE_MS),
        sendRequest("short", SHORT_RESPONSE_MS),
        sendRequest("book", SHORT_RESPONSE_MS),
      ]).flat(),
    );
    const stopped = gateway.stop();
    const pending: Promise<CallerResult>[] = [];
    for (const at of [100, 300, 600, 1000, 1300, 1600, 2000, 2500, 2800]) {
      pending.push(pause(at).then(() => sendRequest("long", LONG_RESPONSE_MS)));
      pending.push(
        pause(at).then(() => sendRequest("short", SHORT_RESPONSE_MS)),
      );
      pending.push(
        pause(at).then(() => sendRequest("book", SHORT_RESPONSE_MS)),
      );
    }
    const results = await Promise.all(pending);
    await stopped;
    expect(results.filter(({ isWhole }) => !isWhole)).toEqual([]);
    const refused = results.filter(({ status }) => status === 503);
    // The long streams that arrive from about 1 s on are refused at once.
    expect(refused.length).toBeGreaterThanOrEqual(5);
    expect(refused.length).toBeLessThanOrEqual(7);
    expect(Math.max(...refused.map(({ took }) => took))).toBeLessThan(200);
  },
  20_000,
);

// Guards against interrupted calls that their caller can't repeat.
test(
  "an entry that shuts down accepts no non-idempotent call of unknown duration",
  async () => {
    const stopped = gateway.stop();
    const early = sendRequest("unknown", SHORT_RESPONSE_MS);
    await pause(1500);
    const late = sendRequest("unknown", LONG_RESPONSE_MS);
    expect((await early).status).toBe(503);
    expect((await late).status).toBe(503);
    await stopped;
  },
  20_000,
);

function sendRequest(
  path: string,
  responseTime: number,
): Promise<CallerResult> {
  const [host, port] = ADDRESS.split(":");
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let status = 0;
    let body = "";
    const finish = (isWhole: boolean) =>
      resolve({ status, body, isWhole, took: performance.now() - startedAt });
    const outgoing = request({
      host,
      port: Number(port),
      path: `/${path}/`,
      method: "POST",
      agent: false,
      headers: { host: "inn.example", "x-attempt": `a${Math.random()}` },
    }, (response) => {
      status = response.statusCode!;
      response.on("data", (chunk) => body += chunk);
      response.on("error", () => finish(false));
      response.on("end", () => finish(response.complete));
    });
    // A request without a status was never accepted.
    outgoing.on("error", () => finish(status === 0));
    outgoing.end(`${responseTime}`);
  });
}

function reply(): SyncReply {
  return {
    feed: "f",
    revision: 1,
    isLeading: true,
    upstreams: [{
      id: "u1",
      name: "u1",
      born: undefined,
      service: "desk",
      address: upstream.address,
      zone: "a",
      slots: 50,
      sequence: Date.now(),
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    }],
    document: JSON.stringify(document),
    entries: [{ name: "entry", address: ADDRESS, zone: "a", region: "r" }],
    controls: [HUB],
    wall: Date.now(),
    spentByOthers: {},
    shared: { beats: {}, loadsOfOthers: {}, readingSpeeds: {}, quotaShare: 1 },
  };
}

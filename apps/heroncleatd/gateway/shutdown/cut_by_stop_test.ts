import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RouteKind } from "@heroncleat/serving";
import { waitUntil } from "../../hub/wait_until.ts";
import type { RunningGateway } from "../running_gateway.ts";
import { testGateway } from "../test_gateway.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { TestUpstream } from "../test_upstream.ts";

const HOST = "127.0.0.30";
const PORT = 25_491;
const CONTROL = "hub:1";
const GRACE_PERIOD_MS = 1000;
const TIMEOUT_MS = 10_000;
const EVENT = "id: 1\ndata: a\n\n";
const LARGE_EVENT = `id: 1\ndata: ${"x".repeat(64 * 1024)}\n\n`;
const LARGE_EVENTS = 400;
/** More than the buffers of a connection take whose caller reads nothing. */
const LARGE_BODY = Buffer.alloc(15 * 1024 * 1024, "x");

type Line = { readonly message: string } & Readonly<Record<string, unknown>>;

const lines: Line[] = [];
const record = (message: string, fields = {}) =>
  void lines.push({ message, ...fields });
const log = { debug() {}, info: record, warn: record, error: record };
const counts = new Map<string, number>();
const metrics = {
  increment: (name: string, by = 1) =>
    void counts.set(name, (counts.get(name) ?? 0) + by),
  gauge() {},
  timing() {},
  close() {},
};

let upstream: TestUpstream;
let gateway: RunningGateway;
const callers: Socket[] = [];

beforeEach(async () => {
  lines.length = 0;
  counts.clear();
  upstream = await TestUpstream.start(({ message }, socket) => {
    const head = `HTTP/1.1 200 OK\r\n${names.digest}: d\r\n` +
      `${names.attempt}: ${message.headers[names.attempt]}\r\n`;
    if (message.url === "/call/") {
      socket.write(`${head}Content-Length: ${LARGE_BODY.length}\r\n\r\n`);
      socket.write(LARGE_BODY);
      return;
    }
    socket.write(
      `${head}Content-Type: text/event-stream\r\n` +
        `Transfer-Encoding: chunked\r\n\r\n${chunkOf(EVENT)}`,
    );
    if (message.url === "/stream/large") {
      socket.write(chunkOf(LARGE_EVENT).repeat(LARGE_EVENTS));
    }
  });
  const reply = testGateway.createReply({
    address: `${HOST}:${PORT}`,
    control: CONTROL,
    upstreams: [testGateway.createRecord({ address: upstream.address })],
    document: testGateway.createDocument([
      testGateway.createRoute({
        name: "streams",
        pathPrefix: "/stream/",
        kind: RouteKind.streaming,
        timeout: TIMEOUT_MS,
      }),
      testGateway.createRoute({ name: "calls", pathPrefix: "/call/" }),
    ]),
  });
  gateway = await testGateway.start({
    address: `${HOST}:${PORT}`,
    noticeAddress: `${HOST}:${PORT + 1}`,
    gracePeriod: GRACE_PERIOD_MS,
    control: CONTROL,
    pool: testGateway.createPool(reply),
    log,
    metrics,
  });
  await waitUntil(() => gateway.isReady());
});

afterEach(() => {
  for (const caller of callers.splice(0)) {
    caller.destroy();
  }
  upstream.close();
});

function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Sends a request whose caller reads the response only if it is told to. */
function send(path: string, attempt: string, timeLeft: number): Socket {
  const caller = connect(PORT, HOST);
  callers.push(caller);
  caller.on("error", () => {});
  caller.write(
    `POST ${path} HTTP/1.1\r\nHost: inn.example\r\nContent-Length: 0\r\n` +
      `${names.attempt}: ${attempt}\r\n${names.timeLeft}: ${timeLeft}\r\n\r\n`,
  );
  return caller;
}

function findCut(attempt: string): Line | undefined {
  return lines.find(({ message, request }) =>
    message === "A request was cut" && request === attempt
  );
}

// Guards against cut requests whose lines don't tell what was taken after the
// signal from what was under way, nor what the upstream had answered whole.
test("the lines of requests that a stop cuts tell when and where they stood", async () => {
  const early = send("/stream/", "early", TIMEOUT_MS);
  await new Promise((resolve) => early.once("data", resolve));
  await pause(100);
  const stopped = gateway.stop();
  await pause(50);
  send("/call/", "late", 300);
  await stopped;

  const earlyLine = findCut("early");
  expect(earlyLine).toMatchObject({
    endedBy: "shutdown",
    route: "streams",
    size: 0,
    upstream: "u1",
    upstreamEnded: 0,
    isPaused: 0,
    unsentBytes: 0,
    listenedFor: expect.any(Number),
  });
  expect(earlyLine).not.toHaveProperty("relayedBy");
  for (const time of ["arrivedAt", "sentAt", "receivedAt", "passedOnAt"]) {
    expect(earlyLine![time]).toBeLessThanOrEqual(-90);
    expect(earlyLine![time]).toBeGreaterThan(-5000);
  }
  const { arrivedAt, deadlineAt } = earlyLine as Record<string, unknown>;
  const timeout = Number(deadlineAt) - Number(arrivedAt);
  expect(Math.abs(timeout - TIMEOUT_MS)).toBeLessThanOrEqual(1);

  const lateLine = findCut("late");
  expect(lateLine).toMatchObject({
    endedBy: "shutdown",
    route: "calls",
    upstream: "u1",
    upstreamEnded: 1,
  });
  for (const time of ["arrivedAt", "sentAt", "receivedAt", "passedOnAt"]) {
    expect(lateLine![time]).toBeGreaterThanOrEqual(40);
    expect(lateLine![time]).toBeLessThan(GRACE_PERIOD_MS);
  }
  expect(lateLine!["unsentBytes"]).toBeGreaterThan(0);

  expect(Object.fromEntries(counts)).toMatchObject({
    "gateway.cut_by_stop": 2,
    "gateway.cut_by_stop.before_signal": 1,
    "gateway.cut_by_stop.after_signal": 1,
    "gateway.cut_by_stop.upstream_ended": 1,
  });
});

// Guards against streams that stop for their caller and look like ones whose
// upstream fell silent.
test("the line of a stream that its caller doesn't read says so", async () => {
  send("/stream/large", "unread", TIMEOUT_MS);
  await waitUntil(() => upstream.received.length === 1);
  await gateway.stop();
  const line = findCut("unread");
  expect(line).toMatchObject({ isPaused: 1, upstreamEnded: 0 });
  expect(line!["unsentBytes"]).toBeGreaterThan(0);
});

test("the last line of a stop tells an early end from one at the limit", async () => {
  const early = send("/stream/", "early", TIMEOUT_MS);
  await new Promise((resolve) => early.once("data", resolve));
  await gateway.stop();
  expect(lines.at(-1)).toMatchObject({ message: "Stopped", isEarly: 0 });
});

test("the last line of a stop says by how much its timers ran late", async () => {
  const stopped = gateway.stop();
  await pause(100);
  const until = performance.now() + 300;
  while (performance.now() < until) {
    // Keeps the process from running its timers.
  }
  await stopped;
  const line = lines.at(-1)!;
  expect(line).toMatchObject({ message: "Stopped", isEarly: 1 });
  expect(line["largestDelay"]).toBeGreaterThanOrEqual(200);
  expect(line["took"]).toBeLessThan(GRACE_PERIOD_MS);
});

import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { type Route, RouteKind } from "@heroncleat/serving";
import { waitUntil } from "../../hub/wait_until.ts";
import type { RunningGateway } from "../running_gateway.ts";
import { testGateway } from "../test_gateway.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { type TestResponder, TestUpstream } from "../test_upstream.ts";

const HOST = "127.0.9.80";
const PORT = 25_521;
const CONTROL = "hub:1";
const GRACE_PERIOD_MS = 2000;
const STALL_AFTER_MS = 1600;
const RUN_TIME_MS = 300;
const TIMEOUT_MS = 10_000;
const SHORT_TIMEOUT_MS = 1500;

const closers: (() => void | Promise<void>)[] = [];
const onClose = (close: () => void | Promise<void>) => void closers.push(close);
afterEach(async () => {
  for (const close of closers.splice(0)) {
    await close();
  }
});

const respond: TestResponder = ({ message }, socket) =>
  void setTimeout(() =>
    socket.write(
      `HTTP/1.1 200 OK\r\n${names.attempt}: ` +
        `${message.headers[names.attempt]}\r\n${names.digest}: d\r\n` +
        "Content-Length: 2\r\n\r\nok",
    ), RUN_TIME_MS);

const ignore: TestResponder = () => {};

type Setup = {
  upstream: TestUpstream;
  gateway: RunningGateway;
  /** May be called more than once. */
  stop: () => Promise<void>;
};

async function start(
  responder: TestResponder,
  route: Partial<Route>,
): Promise<Setup> {
  const upstream = await TestUpstream.start(responder);
  onClose(() => upstream.close());
  const reply = testGateway.createReply({
    address: `${HOST}:${PORT}`,
    control: CONTROL,
    upstreams: [testGateway.createRecord({ address: upstream.address })],
    document: testGateway.createDocument([testGateway.createRoute(route)]),
  });
  const gateway = await testGateway.start({
    address: `${HOST}:${PORT}`,
    noticeAddress: `${HOST}:${PORT + 1}`,
    relayAddress: `${HOST}:${PORT + 2}`,
    gracePeriod: GRACE_PERIOD_MS,
    control: CONTROL,
    pool: testGateway.createPool(reply),
  });
  let stopped: Promise<void> | undefined;
  const stop = () => stopped ??= gateway.stop();
  onClose(stop);
  await waitUntil(() => gateway.isReady());
  return { upstream, gateway, stop };
}

/** Keeps this process from running anything else. */
function block(time: number): void {
  const until = performance.now() + time;
  while (performance.now() < until) {
    // Timers become due.
  }
}

/** Sends requests at once; resolves to what came until the connection closed. */
function pipeline(
  attempts: readonly string[],
): { isClosed: Promise<string>; leave: () => void } {
  const socket = connect(PORT, HOST);
  onClose(() => void socket.destroy());
  let received = "";
  socket.on("data", (bytes) => received += bytes);
  socket.on("error", () => {});
  const isClosed = new Promise<string>((resolve) =>
    socket.once("close", () => resolve(received))
  );
  for (const attempt of attempts) {
    socket.write(
      `GET / HTTP/1.1\r\nHost: inn.example\r\n${names.attempt}: ${attempt}\r\n\r\n`,
    );
  }
  return { isClosed, leave: () => socket.destroy() };
}

function statusesOf(received: string): number[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) =>
    Number(status)
  );
}

// Guards against pipelined requests that a stop drops, as an earlier response of
// their connection closes it.
test("requests that wait for others of their connection when a stop begins are served", async () => {
  const { upstream, stop } = await start(respond, {
    kind: RouteKind.idempotent,
    timeout: SHORT_TIMEOUT_MS,
  });
  const { isClosed } = pipeline(["a1", "a2", "a3"]);
  await waitUntil(() => upstream.received.length === 1);
  await stop();
  const statuses = statusesOf(await isClosed);
  expect(statuses).toEqual([200, 200, 200]);
});

// Guards against requests whose connection is closed without an answer at the
// end of the grace period, although they haven't run.
test("requests that wait at the end of the grace period are refused as not run", async () => {
  const { upstream, stop } = await start(ignore, {
    kind: RouteKind.nonIdempotent,
    timeout: TIMEOUT_MS,
  });
  const { isClosed } = pipeline(["a1", "a2", "a3", "a4"]);
  await waitUntil(() => upstream.received.length === 1);
  await stop();
  const received = await isClosed;
  expect(statusesOf(received)).toEqual([502, 503, 503, 503]);
  expect(received.split("the request has not run")).toHaveLength(4);
  expect(upstream.received).toHaveLength(1);
});

// Guards against a process that was held back until it exits, and then closes
// connections between two of their responses.
test("requests that wait are refused by a process that stood still until its exit", async () => {
  const { upstream, stop } = await start(ignore, {
    kind: RouteKind.nonIdempotent,
    timeout: TIMEOUT_MS,
  });
  const { isClosed } = pipeline(["a1", "a2", "a3", "a4"]);
  await waitUntil(() => upstream.received.length === 1);
  const stopped = stop();
  await pause(STALL_AFTER_MS);
  block(GRACE_PERIOD_MS - STALL_AFTER_MS);
  await stopped;
  const received = await isClosed;
  expect(statusesOf(received)).toEqual([502, 503, 503, 503]);
});

// Guards against an exit whose log doesn't name the requests that it ends, and
// against stops that wait for those of callers that have left.
test("requests that wait for others of their connection are listed as in flight until their caller leaves", async () => {
  const { upstream, gateway } = await start(ignore, {
    kind: RouteKind.idempotent,
    timeout: TIMEOUT_MS,
  });
  const { leave } = pipeline(["a1", "a2", "a3"]);
  await waitUntil(() => upstream.received.length === 1);
  expect(gateway.listInFlight()).toEqual(["a1", "a2", "a3"]);
  leave();
  await waitUntil(() => gateway.listInFlight().length === 0);
});

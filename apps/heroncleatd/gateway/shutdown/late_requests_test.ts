import { request } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { type Route, RouteKind } from "@heroncleat/serving";
import { waitUntil } from "../../hub/wait_until.ts";
import type { RunningGateway } from "../running_gateway.ts";
import { testGateway } from "../test_gateway.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { type TestResponder, TestUpstream } from "../test_upstream.ts";

const HOST = "127.0.0.28";
const PORT = 25_481;
const CONTROL = "hub:1";
const GRACE_PERIOD_MS = 2000;
/** Time after the signal at which idle connections are closed. */
const CLOSE_AT_MS = 1500;
const TIMEOUT_MS = 10_000;
const RELAY_PORT = PORT + 2;
/** Time after the signal at which requests in flight are given up. */
const GIVE_UP_AT_MS = 1750;
const EVENT = "id: 1\ndata: a\n\n";

const closers: (() => void)[] = [];
const onClose = (close: () => void) => void closers.push(close);
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

async function startUpstream(respond: TestResponder): Promise<TestUpstream> {
  const upstream = await TestUpstream.start(respond);
  onClose(() => upstream.close());
  return upstream;
}

function head(attempt: unknown): string {
  return `HTTP/1.1 200 OK\r\n${names.attempt}: ${attempt}\r\n` +
    `${names.digest}: d\r\n`;
}

const answer: TestResponder = ({ message }, socket) => {
  const attempt = message.headers[names.attempt];
  socket.write(`${head(attempt)}Content-Length: 2\r\n\r\nok`);
};

const beginStream: TestResponder = ({ message }, socket) => {
  const attempt = message.headers[names.attempt];
  socket.write(
    `${head(attempt)}Content-Type: text/event-stream\r\n` +
      `Transfer-Encoding: chunked\r\n\r\n` +
      `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`,
  );
};

async function startGateway(
  upstream: TestUpstream,
  kind: Route["kind"],
  gracePeriod = GRACE_PERIOD_MS,
): Promise<RunningGateway> {
  const reply = testGateway.createReply({
    address: `${HOST}:${PORT}`,
    control: CONTROL,
    upstreams: [testGateway.createRecord({ address: upstream.address })],
    document: testGateway.createDocument([
      testGateway.createRoute({ kind, timeout: TIMEOUT_MS }),
    ]),
  });
  const gateway = await testGateway.start({
    address: `${HOST}:${PORT}`,
    noticeAddress: `${HOST}:${PORT + 1}`,
    relayAddress: `${HOST}:${RELAY_PORT}`,
    gracePeriod,
    control: CONTROL,
    pool: testGateway.createPool(reply),
  });
  await waitUntil(() => gateway.isReady());
  return gateway;
}

type Reply = { status: number; isWhole: boolean; body: string };

function send(port: number, host: string, attempt: string): Promise<Reply> {
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      method: "POST",
      agent: false,
      headers: { host: "inn.example", [names.attempt]: attempt },
    }, (response) => {
      let body = "";
      const settle = () =>
        resolve({
          status: response.statusCode!,
          isWhole: response.complete,
          body,
        });
      outgoing.removeAllListeners("error");
      outgoing.on("error", settle);
      response.on("data", (chunk) => body += chunk);
      response.on("error", settle);
      response.on("close", settle);
    });
    outgoing.on(
      "error",
      () => resolve({ status: 0, isWhole: false, body: "" }),
    );
    outgoing.end();
  });
}

/** Keeps this process from running anything else. */
function block(time: number): void {
  const until = performance.now() + time;
  while (performance.now() < until) {
    // Bytes arrive meanwhile, and timers become due.
  }
}

async function openConnection(): Promise<Socket> {
  const socket = connect(PORT, HOST);
  await new Promise((resolve) => socket.once("connect", resolve));
  // The server accepts it.
  await pause(50);
  return socket;
}

// Guards against requests that a stop resets, as a process that was held back
// runs its timers before it reads what has arrived.
test("a stop answers a request that arrived before idle connections are closed", async () => {
  const upstream = await startUpstream(answer);
  const gateway = await startGateway(upstream, RouteKind.idempotent);
  const socket = await openConnection();
  let received = "";
  socket.on("data", (bytes) => received += bytes);
  const isClosed = new Promise<string>((resolve) => {
    socket.on("error", (error) => resolve(error.message));
    socket.on("close", () => resolve("closed"));
  });
  const stopped = gateway.stop();
  await pause(CLOSE_AT_MS - 150);
  // Timers that become due after this phase run before anything is read.
  await new Promise((resolve) => setImmediate(resolve));
  socket.write(
    `GET / HTTP/1.1\r\nHost: inn.example\r\n${names.attempt}: late\r\n\r\n`,
  );
  block(300);
  const end = await isClosed;
  await stopped;
  expect(end).toBe("closed");
  expect(received).toMatch(/^HTTP\/1.1 503 [^]*the request has not run/);
});

// Guards against connections that the system has accepted and a stop resets, as
// the process is too slow to accept all of them before it stops listening.
test.each([
  { count: 30, gracePeriod: GRACE_PERIOD_MS },
  { count: 600, gracePeriod: 8000 },
])(
  "a stop answers requests of $count connections that wait to be accepted",
  async ({
    count,
    gracePeriod,
  }) => {
    const upstream = await startUpstream(answer);
    const gateway = await startGateway(
      upstream,
      RouteKind.idempotent,
      gracePeriod,
    );
    for (let at = 0; at < 10; at += 1) {
      await send(PORT, HOST, `first-${at}`);
    }
    const stopped = gateway.stop();
    await pause(gracePeriod * 0.75 - 150);
    await new Promise((resolve) => setImmediate(resolve));
    const pending = Array.from(
      { length: count },
      (_, at) => send(PORT, HOST, `late-${at}`),
    );
    // The connections are opened, and the requests sent behind them.
    await new Promise((resolve) => setImmediate(resolve));
    block(300);
    const replies = await Promise.all(pending);
    await stopped;
    // Refused where the time left is short, but not reset.
    const unanswered = replies.filter(({ status }) =>
      status !== 200 && status !== 503
    );
    expect(unanswered).toEqual([]);
  },
);

// Guards against requests of other entries that a stop resets unread, so that
// those entries can't tell whether they have run.
test("a stop answers requests of other entries that wait to be accepted at its end", async () => {
  const upstream = await startUpstream(() => {});
  const gateway = await startGateway(upstream, RouteKind.nonIdempotent);
  const inFlight = send(PORT, HOST, "a1");
  await waitUntil(() => upstream.received.length === 1);
  const stopped = gateway.stop();
  await pause(GIVE_UP_AT_MS - 50);
  await new Promise((resolve) => setImmediate(resolve));
  const pending = Array.from(
    { length: 30 },
    (_, at) => send(RELAY_PORT, HOST, `late-${at}`),
  );
  // The connections are opened, and the requests sent behind them.
  await new Promise((resolve) => setImmediate(resolve));
  block(400);
  const replies = await Promise.all(pending);
  await stopped;
  await inFlight;
  expect(replies.map(({ status }) => status)).toEqual(Array(30).fill(503));
});

// Guards against requests that end without an answer at the end of the grace
// period, although their upstream is silent and an answer can be sent.
test("a call in flight at the end of the grace period is answered", async () => {
  const upstream = await startUpstream(() => {});
  const gateway = await startGateway(upstream, RouteKind.nonIdempotent);
  const pending = send(PORT, HOST, "a1");
  await waitUntil(() => upstream.received.length === 1);
  const startedAt = performance.now();
  await gateway.stop();
  expect(performance.now() - startedAt).toBeLessThan(GRACE_PERIOD_MS);
  const { status, isWhole, body } = await pending;
  expect({ status, isWhole }).toEqual({ status: 502, isWhole: true });
  expect(body).toContain("may have run");
});

test("a stream in flight at the end of the grace period keeps its events and breaks off", async () => {
  const upstream = await startUpstream(beginStream);
  const gateway = await startGateway(upstream, RouteKind.streaming);
  const pending = send(PORT, HOST, "a1");
  await waitUntil(() => upstream.received.length === 1);
  await gateway.stop();
  expect(await pending).toEqual({ status: 200, isWhole: false, body: EVENT });
});

import { request } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { type Route, RouteKind } from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
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
    gracePeriod: GRACE_PERIOD_MS,
    control: CONTROL,
    pool: {
      notify: () => {},
      call: () => Promise.resolve(reply),
    } as unknown as PeerPool,
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

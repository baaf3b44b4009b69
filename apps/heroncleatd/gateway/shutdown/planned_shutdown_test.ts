import { request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { type Route, RouteKind } from "@heroncleat/serving";
import { PeerPool, PeerServer } from "@heroncleat/transport";
import type { RunningGateway } from "../running_gateway.ts";
import { testGateway } from "../test_gateway.ts";
import { TestUpstream } from "../test_upstream.ts";

const HOST = "127.0.0.22";
const HUB = `${HOST}:25450`;
const ADDRESS = `${HOST}:25451`;
const GRACE_PERIOD_MS = 4000;
/** Response times, sent as the body of a request. */
const LONG_RESPONSE_MS = 2600;
const SHORT_RESPONSE_MS = 50;
/** Time after the signal until which short requests are always accepted. */
const EARLY_MS = 2000;

function route(
  name: string,
  kind: Route["kind"],
  changes: Partial<Route> = {},
): Route {
  return testGateway.createRoute({
    name,
    pathPrefix: `/${name}/`,
    kind,
    timeout: 6000,
    latencyObjective: 500,
    ...changes,
  });
}

const document = testGateway.createDocument([
  route("long", RouteKind.streaming),
  route("short", RouteKind.streaming, { timeout: 1000 }),
  route("book", RouteKind.nonIdempotent, { timeout: 1000 }),
  route("unknown", RouteKind.nonIdempotent),
]);

type CallerResult = {
  path: string;
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
  gateway = await testGateway.start({
    address: ADDRESS,
    noticeAddress: `${HOST}:25452`,
    gracePeriod: GRACE_PERIOD_MS,
    control: HUB,
    pool,
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
    const pending: Promise<CallerResult & { sentAfter: number }>[] = [];
    for (const at of [100, 300, 600, 1000, 1300, 1600, 2000, 2500, 2800]) {
      const send = async (path: string, responseTime: number) => {
        await pause(at);
        return { ...await sendRequest(path, responseTime), sentAfter: at };
      };
      pending.push(send("long", LONG_RESPONSE_MS));
      pending.push(send("short", SHORT_RESPONSE_MS));
      pending.push(send("book", SHORT_RESPONSE_MS));
    }
    const results = await Promise.all(pending);
    await stopped;
    expect(results.filter(({ isWhole }) => !isWhole)).toEqual([]);
    const refused = results.filter(({ status }) => status === 503);
    // Their deadline is later than the exit.
    expect(refused.filter(({ path }) => path === "long")).toHaveLength(9);
    const short = results.filter(({ path }) => path !== "long");
    const early = short.filter(({ sentAfter }) => sentAfter <= EARLY_MS);
    expect(early.filter(({ status }) => status !== 200)).toEqual([]);
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

// Guards against a shutdown that outlasts the grace period after a slow start.
test("the grace period counts from the signal", async () => {
  const sinceSignal = 0.7 * GRACE_PERIOD_MS;
  const interrupted = sendRequest("unknown", LONG_RESPONSE_MS);
  await pause(200);
  const stoppedAt = performance.now();
  await gateway.stop(stoppedAt - sinceSignal);
  const took = performance.now() - stoppedAt;
  expect(took).toBeGreaterThan(0.2 * GRACE_PERIOD_MS);
  expect(took).toBeLessThan(0.5 * GRACE_PERIOD_MS);
  expect((await interrupted).status).toBe(502);
});

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
      resolve({
        path,
        status,
        body,
        isWhole,
        took: performance.now() - startedAt,
      });
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

function reply() {
  return testGateway.createReply({
    address: ADDRESS,
    control: HUB,
    upstreams: [
      testGateway.createRecord({
        address: upstream.address,
        sequence: Date.now(),
      }),
    ],
    document,
  });
}

import { request } from "node:http";
import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RouteKind } from "@heroncleat/serving";
import { waitUntil } from "../hub/wait_until.ts";
import type { RunningGateway } from "./running_gateway.ts";
import { testGateway } from "./test_gateway.ts";
import { testHeaderNames as names } from "./test_header_names.ts";
import { TestUpstream } from "./test_upstream.ts";

const HOST = "127.0.0.29";
const PORT = 25_491;
const CONTROL = "hub:1";
const MIB = 1024 * 1024;
const LARGE_BODY = Buffer.alloc(4 * MIB, "x");
const CALLERS = 51;
const TIMEOUT_MS = 2000;
/** Busy machines take seconds to pass the bodies of a crowd on. */
const CROWD_TIMEOUT_MS = 12_000;
const RUN_TIME_MS = 500;
/** What bodies may hold, and bytes that aren't collected yet. */
const MAX_GROWTH_BYTES = 200 * MIB;

let upstream: TestUpstream;
let gateway: RunningGateway;

/** Starts an entry and an upstream whose requests have a time limit. */
async function start(timeout = TIMEOUT_MS): Promise<void> {
  upstream = await TestUpstream.start(({ message }, socket) => {
    setTimeout(() =>
      socket.write(
        `HTTP/1.1 200 OK\r\n${names.attempt}: ` +
          `${message.headers[names.attempt]}\r\n${names.digest}: d\r\n` +
          "Content-Length: 2\r\n\r\nok",
      ), RUN_TIME_MS);
  });
  const document = testGateway.createDocument([
    testGateway.createRoute({
      kind: RouteKind.nonIdempotent,
      timeout,
      latencyObjective: timeout,
    }),
  ], {
    limits: {
      maxHeaderBytes: 4096,
      maxBodyBytes: LARGE_BODY.length,
      headerTimeout: 500,
      idleTimeout: 5000,
    },
  });
  const reply = testGateway.createReply({
    address: `${HOST}:${PORT}`,
    control: CONTROL,
    upstreams: [
      testGateway.createRecord({ address: upstream.address, slots: 200 }),
    ],
    document,
  });
  gateway = await testGateway.start({
    address: `${HOST}:${PORT}`,
    noticeAddress: `${HOST}:${PORT + 1}`,
    gracePeriod: 200,
    control: CONTROL,
    pool: testGateway.createPool(reply),
  });
  await waitUntil(() => gateway.isReady());
}

afterEach(async () => {
  await gateway.stop();
  upstream.close();
});

type Reply = {
  readonly status: number;
  readonly retryAfter: number;
  readonly took: number;
};

/**
 * Sends a body.
 *
 * @param options.chunk Bytes that are sent each 50 ms; all at once if absent.
 */
function send(
  attempt: string,
  body: Buffer,
  { isStated = true, chunk = 0 } = {},
): Promise<Reply> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const settle = (status: number, retryAfter = 0) => {
      clearInterval(timer);
      resolve({ status, retryAfter, took: performance.now() - startedAt });
    };
    const outgoing = request({
      host: HOST,
      port: PORT,
      method: "POST",
      agent: false,
      headers: {
        host: "inn.example",
        [names.attempt]: attempt,
        ...(isStated ? { "content-length": body.length } : {}),
      },
    }, (response) => {
      response.resume();
      response.on("end", () => {
        settle(
          response.statusCode!,
          Number(response.headers["retry-after"] ?? 0),
        );
        outgoing.destroy();
      });
      response.on("error", () => settle(0));
    });
    outgoing.on("error", () => settle(0));
    let sent = 0;
    const timer = setInterval(() => {
      if (chunk > 0) {
        outgoing.write(body.subarray(sent, sent + chunk));
        sent += chunk;
      }
    }, 50);
    if (chunk === 0) {
      outgoing.end(body);
    }
  });
}

function byStatus(replies: readonly Reply[]): Record<number, number> {
  const counts: Record<number, number> = {};
  for (const { status } of replies) {
    counts[status] = (counts[status] ?? 0) + 1;
  }
  return counts;
}

// Guards against bodies of requests that fill the entry's memory, so that it
// ends with everything it has accepted.
test.each([true, false])(
  "many large bodies at once are sent on or refused at once, small ones are sent on (length stated: %s)",
  async (isStated) => {
    await start(CROWD_TIMEOUT_MS);
    const before = process.memoryUsage().arrayBuffers;
    let peak = 0;
    const timer = setInterval(() => {
      const { arrayBuffers } = process.memoryUsage();
      peak = Math.max(peak, arrayBuffers - before);
    }, 5);
    const large = Array.from(
      { length: CALLERS },
      (_, at) => send(`large-${at}`, LARGE_BODY, { isStated }),
    );
    const small = Array.from(
      { length: 30 },
      (_, at) => send(`small-${at}`, Buffer.alloc(20_000), { isStated }),
    );
    const largeReplies = await Promise.all(large);
    expect(byStatus(await Promise.all(small))).toEqual({ 200: 30 });
    clearInterval(timer);
    const counts = byStatus(largeReplies);
    expect(Object.keys(counts)).toEqual(["200", "503"]);
    expect(counts[200]).toBeGreaterThanOrEqual(5);
    expect(upstream.received).toHaveLength(counts[200]! + 30);
    for (const { status, retryAfter } of largeReplies) {
      expect(status === 200 || retryAfter > 0).toBe(true);
    }
    expect(peak).toBeLessThan(MAX_GROWTH_BYTES);
  },
  20_000,
);

// Guards against refusals that callers don't get, as the connection is reset
// while they send.
test(
  "a caller that closes its connection gets the refusal of a body that it still sends",
  async () => {
    await start();
    const socket = connect({ port: PORT, host: HOST, allowHalfOpen: true });
    let received = "";
    let error = "";
    socket.on("error", ({ message }) => error = message);
    const isSent = new Promise<void>((resolve) => {
      socket.write(
        "POST / HTTP/1.1\r\nHost: inn.example\r\nConnection: close\r\n" +
          `${names.attempt}: a1\r\nContent-Length: ${8 * MIB}\r\n\r\n`,
      );
      socket.write(Buffer.alloc(8 * MIB), () => resolve());
    });
    await isSent;
    await pause(100);
    socket.on("data", (bytes) => received += bytes);
    await new Promise((resolve) => socket.once("end", resolve));
    socket.destroy();
    expect(error).toBe("");
    expect(received).toMatch(/^HTTP\/1.1 413 [^]*send less/);
  },
  5000,
);

// Guards against slow callers that keep the room of others for good.
test("bodies that aren't complete in time are refused and leave their room", async () => {
  await start();
  const slow = Array.from(
    { length: 20 },
    (_, at) => send(`slow-${at}`, LARGE_BODY, { chunk: 1 }),
  );
  await pause(200);
  expect((await send("small", Buffer.alloc(1000))).status).toBe(200);
  const replies = await Promise.all(slow);
  const counts = byStatus(replies);
  expect(Object.keys(counts)).toEqual(["408", "503"]);
  for (const { took } of replies) {
    expect(took).toBeLessThan(TIMEOUT_MS + 1000);
  }
  expect((await send("large", LARGE_BODY)).status).toBe(200);
});

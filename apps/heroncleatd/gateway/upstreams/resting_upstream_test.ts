import type { Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RouteKind } from "@heroncleat/serving";
import { createTestContext } from "../create_test_context.ts";
import { RetryLimiter } from "../limits/retry_limiter.ts";
import type { Relay } from "../relay/relay.ts";
import { relayHeaders } from "../relay/relay_headers.ts";
import { startTestRelay } from "../relay/start_test_relay.ts";
import { startTestEntry } from "../start_test_entry.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { TestUpstream } from "../test_upstream.ts";
import { UpstreamAgent } from "./upstream_agent.ts";

const REST_SECONDS = 30;
/** Processor time in which a request is refused that nothing is waited for. */
const MAX_REFUSAL_TIME_MS = 100;
const MICROSECONDS_PER_MS = 1000;
const closers: (() => void)[] = [];
const onClose = (close: () => void) => closers.push(close);

afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

/** Starts an upstream that sends the same raw response to each request. */
async function startUpstream(
  respond: (attempt: string) => string,
): Promise<TestUpstream> {
  const upstream = await TestUpstream.start(({ message }, socket) =>
    void socket.write(respond(String(message.headers[names.attempt])))
  );
  closers.push(() => upstream.close());
  return upstream;
}

/** Rejects a request without asking for rest. */
const full = (attempt: string) =>
  `HTTP/1.1 503 Full\r\n${names.notRun}: 1\r\n${names.attempt}: ${attempt}\r\n` +
  "Content-Length: 0\r\n\r\n";

const rejecting = (attempt: string) =>
  `HTTP/1.1 503 Full\r\n${names.notRun}: 1\r\n${names.attempt}: ${attempt}\r\n` +
  `Retry-After: ${REST_SECONDS}\r\nContent-Length: 0\r\n\r\n`;

const serving = (attempt: string, headers = "") =>
  `HTTP/1.1 200 OK\r\n${names.digest}: d\r\n${names.attempt}: ${attempt}\r\n` +
  `${headers}Content-Length: 2\r\n\r\nok`;

/** The beginning of a stream without its end. */
const streaming = (attempt: string) =>
  `HTTP/1.1 200 OK\r\n${names.digest}: d\r\n${names.attempt}: ${attempt}\r\n` +
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
  "f\r\nid: 1\ndata: a\n\n\r\n";

let attempts = 0;

async function send(entry: Server): Promise<Response> {
  attempts += 1;
  const { port } = entry.address() as AddressInfo;
  return await fetch(`http://127.0.0.1:${port}/`, {
    headers: { [names.attempt]: `a${attempts}` },
  });
}

// One test for each way by which a request can reach an upstream.
test("a request that was rejected is sent on, and the next ones aren't sent there", async () => {
  const resting = await startUpstream(rejecting);
  const sound = await startUpstream(serving);
  const entry = await startTestEntry({ upstreams: [resting, sound] }, onClose);
  for (let count = 0; count < 5; count += 1) {
    expect((await send(entry)).status).toBe(200);
  }
  expect(resting.received).toHaveLength(1);
  expect(sound.received).toHaveLength(5);
});

test("a stream isn't resumed at an upstream that rests", async () => {
  const resting = await startUpstream(rejecting);
  const breaking = await TestUpstream.start(({ message }, socket) => {
    socket.write(streaming(String(message.headers[names.attempt])));
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  closers.push(() => breaking.close());
  const entry = await startTestEntry({
    upstreams: [resting, breaking],
    kind: RouteKind.streaming,
    isResumable: true,
    timeout: 500,
  }, onClose);
  const response = await send(entry);
  await expect(response.text()).rejects.toThrow();
  expect(breaking.received).toHaveLength(1);
  expect(resting.received).toHaveLength(1);
});

test("a request that waits for its connection isn't sent once the upstream rests", async () => {
  const upstream = await startUpstream(serving);
  const sound = await startUpstream(serving);
  const context = createTestContext([upstream, sound], onClose);
  const slow = new UpstreamAgent(() => 16, (options) => {
    // The upstream asks for rest while the connection opens.
    context.statements.recordRejection("u0", {
      rest: REST_SECONDS * 1000,
      now: context.clock.steady(),
    });
    return connect(options);
  });
  closers.push(() => slow.destroy());
  const entry = await startTestEntry({
    upstreams: [],
    context: {
      ...context,
      agentOf: (id) => id === "u0" ? slow : context.agentOf(id),
    },
  }, onClose);
  expect((await send(entry)).status).toBe(200);
  expect(upstream.received).toHaveLength(0);
  expect(sound.received).toHaveLength(1);
});

// Guards against a request that runs out of retries, as one that was never sent
// counted too.
test("a retry that wasn't sent, as its upstream rests, leaves the retry to the next upstream", async () => {
  const rejectingFirst = await startUpstream(full);
  const resting = await startUpstream(serving);
  const sound = await startUpstream(serving);
  const upstreams = [rejectingFirst, resting, sound];
  const context = createTestContext(upstreams, onClose);
  const slow = new UpstreamAgent(() => 16, (options) => {
    context.statements.recordRejection("u1", {
      rest: REST_SECONDS * 1000,
      now: context.clock.steady(),
    });
    return connect(options);
  });
  closers.push(() => slow.destroy());
  const entry = await startTestEntry({
    upstreams: [],
    context: {
      ...context,
      agentOf: (id) => id === "u1" ? slow : context.agentOf(id),
      retries: new RetryLimiter({
        settings: () => ({ retryRatio: 0, retryWindow: 10_000, retrySlack: 1 }),
        clock: context.clock,
        log: context.log,
        metrics: context.metrics,
        share: { value: () => 1, entries: 1 },
      }),
    },
  }, onClose);
  expect((await send(entry)).status).toBe(200);
  expect(upstreams.map(({ received }) => received.length)).toEqual([1, 0, 1]);
});

test.each([
  ["a call", RouteKind.idempotent],
  ["a stream", RouteKind.streaming],
])(
  "%s is refused at once, until the first rest ends, where all rest",
  async (_name, kind) => {
    const resting = [
      await startUpstream(rejecting),
      await startUpstream(rejecting),
    ];
    // The first request of a process also loads and compiles code.
    const sound = [await startUpstream(serving)];
    await send(await startTestEntry({ upstreams: sound, kind }, onClose));
    const entry = await startTestEntry({ upstreams: resting, kind }, onClose);
    // No timer fires, so an entry that waits for anything doesn't answer.
    jest.useFakeTimers({
      doNotFake: [
        "performance",
        "Date",
        "nextTick",
        "setImmediate",
        "queueMicrotask",
        "hrtime",
      ],
    });
    onClose(() => jest.useRealTimers());
    for (let count = 0; count < 3; count += 1) {
      const usedBefore = process.cpuUsage();
      const response = await send(entry);
      expect(response.status).toBe(503);
      const { user, system } = process.cpuUsage(usedBefore);
      expect((user + system) / MICROSECONDS_PER_MS)
        .toBeLessThan(MAX_REFUSAL_TIME_MS);
      expect(Number(response.headers.get("retry-after")))
        .toBeGreaterThan(REST_SECONDS - 1);
      expect((await response.json() as { error: string }).error)
        .toContain("has not run");
    }
    expect(resting.map(({ received }) => received.length)).toEqual([1, 1]);
  },
);

test("a request is held until a rest ends that is nearly over", async () => {
  const upstream = await startUpstream(serving);
  const context = createTestContext([upstream], onClose);
  const entry = await startTestEntry({ upstreams: [], context }, onClose);
  context.statements.recordRejection("u0", {
    rest: 15,
    now: context.clock.steady(),
  });
  expect((await send(entry)).status).toBe(200);
});

describe("an upstream whose answer says that it leaves", () => {
  const leaving = (attempt: string) =>
    serving(attempt, `${names.leaving}: 1\r\n`);

  test("gets no further request, and its answer is delivered", async () => {
    const upstream = await startUpstream(leaving);
    const sound = await startUpstream(serving);
    const entry = await startTestEntry(
      { upstreams: [upstream, sound] },
      onClose,
    );
    for (let count = 0; count < 3; count += 1) {
      const response = await send(entry);
      expect(await response.text()).toBe("ok");
    }
    expect(upstream.received).toHaveLength(1);
  });

  test("isn't made ready by a heartbeat, also after it was forgotten", async () => {
    const upstream = await startUpstream(leaving);
    const context = createTestContext([upstream], onClose);
    const entry = await startTestEntry({ upstreams: [], context }, onClose);
    await send(entry);
    const { directory, clock, statements } = context;
    const { record } = directory.get("u0")!;
    const now = clock.steady();
    directory.merge({ ...record, state: "ready", sequence: 9 }, now);
    expect(directory.get("u0")!.record.state).toBe("draining");
    directory.expire(now + 100_000);
    statements.expire(now + 100_000);
    directory.merge({ ...record, state: "ready", sequence: 9 }, now);
    expect(directory.get("u0")!.record.state).toBe("draining");
    directory.merge({ ...record, id: "u0@2", state: "ready" }, now);
    expect(directory.get("u0@2")!.record.state).toBe("ready");
  });

  test("isn't used by an entry that got the answer from another entry", async () => {
    const upstream = await startUpstream(serving);
    const context = createTestContext([upstream], onClose);
    const relay = await startOtherEntry();
    const entry = await startTestEntry({
      upstreams: [],
      context: {
        ...context,
        relay,
        reachability: Object.create(context.reachability, {
          isCutOff: { value: () => upstream.received.length === 0 && isCutOff },
          isInDoubt: { value: () => false },
        }),
      },
    }, onClose);
    let isCutOff = true;
    expect((await send(entry)).status).toBe(200);
    isCutOff = false;
    expect((await send(entry)).status).toBe(503);
    expect(upstream.received).toHaveLength(0);
  });

  /** Another entry that got an answer of the same upstream. */
  function startOtherEntry(): Promise<Relay> {
    return startTestRelay((message, response) => {
      response.writeHead(200, {
        [names.attempt]: String(message.headers[names.attempt]),
        [names.digest]: "d",
        [names.leaving]: "1",
        [relayHeaders.upstream]: "u0",
      }).end("ok");
    }, onClose);
  }
});

test("an upstream that rests is asked again once its rest has ended", async () => {
  let isRejecting = true;
  const upstream = await startUpstream((attempt) =>
    isRejecting
      ? rejecting(attempt).replace(`${REST_SECONDS}`, "0.3")
      : serving(attempt)
  );
  const entry = await startTestEntry({ upstreams: [upstream] }, onClose);
  expect((await send(entry)).status).toBe(503);
  isRejecting = false;
  expect((await send(entry)).status).toBe(503);
  await pause(350);
  expect((await send(entry)).status).toBe(200);
  expect(upstream.received).toHaveLength(2);
});

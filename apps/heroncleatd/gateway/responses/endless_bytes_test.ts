import type { AddressInfo } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RouteKind } from "@heroncleat/serving";
import { byteLimits } from "../../common/byte_limits.ts";
import type { Log } from "../../common/log.ts";
import { createTestContext } from "../create_test_context.ts";
import type { ForwardContext } from "../forward_context.ts";
import type { ForwardResult } from "../forward_result.ts";
import { startTestEntry } from "../start_test_entry.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { type TestResponder, TestUpstream } from "../test_upstream.ts";
import { EndlessUpstream } from "./endless_upstream.ts";

const closers: (() => void)[] = [];
const onClose = (close: () => void) => void closers.push(close);
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

const MIB = 1024 * 1024;
const TIMEOUT_MS = 3000;
/** Streams without events wait for another upstream until then. */
const STREAM_TIMEOUT_MS = 800;
/** Time in which 16 MB are read here, with a wide margin for a busy machine. */
const READ_TIME_MS = 1500;
/** What the buffers of a connection take that nobody reads. */
const MAX_SYSTEM_BYTES = 8 * MIB;

const OK = `HTTP/1.1 200 OK\r\n${names.attempt}: ATTEMPT\r\n` +
  `${names.digest}: d\r\n`;
const NOT_RUN = `HTTP/1.1 503 Service Unavailable\r\n` +
  `${names.attempt}: ATTEMPT\r\n${names.notRun}: 1\r\n`;
const EVENTS = "Content-Type: text/event-stream\r\n";
const CHUNKED = "Transfer-Encoding: chunked\r\n";
const LINE = "x".repeat(1024);

type Shape = {
  readonly shape: string;
  readonly start: string;
  readonly repeated: string;
  /** Bytes that the entry may read before it closes. */
  readonly limit: number;
  /** Status for a call that may run only once. */
  readonly status: number;
};

const HEADS: Record<string, Shape> = {
  "informational heads": {
    shape: "informational_heads",
    start: "",
    repeated: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    limit: byteLimits.heads,
    status: 502,
  },
  "header fields": {
    shape: "head",
    start: "HTTP/1.1 200 OK\r\n",
    repeated: "a: b\r\n",
    limit: byteLimits.heads,
    status: 502,
  },
  "one header field": {
    shape: "head",
    start: "HTTP/1.1 200 OK\r\na: ",
    repeated: LINE,
    limit: byteLimits.heads,
    status: 502,
  },
  "bytes that are not a head": {
    shape: "not_head",
    start: "",
    repeated: LINE,
    limit: 0,
    status: 502,
  },
};

const BODIES: Record<string, Shape> = {
  "a body without a length": {
    shape: "body",
    start: `${OK}\r\n`,
    repeated: LINE,
    limit: byteLimits.body,
    status: 502,
  },
  "a chunked body": {
    shape: "body",
    start: `${OK}${CHUNKED}\r\n`,
    repeated: `400\r\n${LINE}\r\n`,
    limit: byteLimits.body,
    status: 502,
  },
  "chunk extensions": {
    shape: "framing",
    start: `${OK}${CHUNKED}\r\n`,
    repeated: `1;${LINE}\r\nx\r\n`,
    limit: 2 * byteLimits.framing,
    status: 502,
  },
  "one chunk extension": {
    shape: "framing",
    start: `${OK}${CHUNKED}\r\n1;`,
    repeated: LINE,
    limit: byteLimits.framing,
    status: 502,
  },
  "trailers": {
    shape: "framing",
    start: `${OK}${CHUNKED}\r\n0\r\n`,
    repeated: "a: b\r\n",
    limit: byteLimits.framing,
    status: 502,
  },
  "the body of a rejection": {
    shape: "discarded_body",
    start: `${NOT_RUN}${CHUNKED}\r\n`,
    repeated: `400\r\n${LINE}\r\n`,
    limit: 2 * byteLimits.discarded,
    status: 503,
  },
};

const STREAMS: Record<string, Shape> = {
  "comments": {
    shape: "without_progress",
    start: `${OK}${EVENTS}${CHUNKED}\r\n`,
    repeated: `403\r\n:${LINE}\n\n\r\n`,
    limit: byteLimits.withoutProgress,
    status: 200,
  },
  "empty lines": {
    shape: "without_progress",
    start: `${OK}${EVENTS}${CHUNKED}\r\n`,
    repeated: `400\r\n${"\n".repeat(1024)}\r\n`,
    limit: byteLimits.withoutProgress,
    status: 200,
  },
  "events without identifiers": {
    shape: "without_progress",
    start: `${OK}${EVENTS}${CHUNKED}\r\n`,
    repeated: `408\r\ndata: ${LINE}\n\n\r\n`,
    limit: byteLimits.withoutProgress,
    status: 200,
  },
  "events with the same identifier": {
    shape: "without_progress",
    start: `${OK}${EVENTS}${CHUNKED}\r\n`,
    repeated: `40e\r\nid: 1\ndata: ${LINE}\n\n\r\n`,
    limit: byteLimits.withoutProgress,
    status: 200,
  },
  "one line": {
    shape: "line",
    start: `${OK}${EVENTS}${CHUNKED}\r\n6\r\ndata: \r\n`,
    repeated: `400\r\n${LINE}\r\n`,
    limit: byteLimits.line,
    status: 200,
  },
  "one line in chunks of one byte": {
    shape: "framing",
    start: `${OK}${EVENTS}${CHUNKED}\r\n6\r\ndata: \r\n`,
    repeated: "1\r\nx\r\n",
    limit: 2 * byteLimits.framing,
    status: 200,
  },
  "one comment": {
    shape: "line",
    start: `${OK}${EVENTS}${CHUNKED}\r\n1\r\n:\r\n`,
    repeated: `400\r\n${LINE}\r\n`,
    limit: byteLimits.line,
    status: 200,
  },
  "one event": {
    shape: "event",
    start: `${OK}${EVENTS}${CHUNKED}\r\n`,
    repeated: `407\r\ndata: ${LINE}\n\r\n`,
    limit: byteLimits.event,
    status: 200,
  },
};

type Reply = { readonly status: number; readonly isWhole: boolean };

/** Sends a request and reads the whole response, also if it is broken off. */
async function request(port: number, attempt = "a1"): Promise<Reply> {
  const response = await fetch(`http://127.0.0.1:${port}/`, {
    headers: { [names.attempt]: attempt },
  });
  const { status } = response;
  try {
    for await (const _chunk of response.body ?? []) {
      // Only whether the end arrives matters.
    }
    return { status, isWhole: true };
  } catch {
    return { status, isWhole: false };
  }
}

/** What a test looks at besides the answer. */
type Observed = {
  readonly counted: string[];
  readonly logged: Record<string, string | number>[];
  readonly context: ForwardContext;
  readonly paused: string[];
};

function observe(
  upstreams: readonly { readonly address: string }[],
): Observed {
  const context = createTestContext(upstreams, onClose);
  const counted: string[] = [];
  const logged: Record<string, string | number>[] = [];
  const paused: string[] = [];
  const pauseUpstream = context.choice.pause.bind(context.choice);
  context.choice.pause = (upstream, now) => {
    paused.push(upstream);
    pauseUpstream(upstream, now);
  };
  const log: Log = {
    ...context.log,
    warn: (_message, facts = {}) => void logged.push(facts),
  };
  const metrics = {
    ...context.metrics,
    increment: (name: string) => void counted.push(name),
  };
  return { context: { ...context, log, metrics }, counted, logged, paused };
}

async function startEndless(shape: Shape): Promise<EndlessUpstream> {
  const upstream = await EndlessUpstream.start(shape);
  onClose(() => upstream.close());
  return upstream;
}

type Setup = {
  readonly kind: typeof RouteKind[keyof typeof RouteKind];
  readonly isResumable?: boolean;
  readonly timeout?: number;
};

async function startEntry(
  upstreams: readonly { readonly address: string }[],
  setup: Setup,
) {
  const observed = observe(upstreams);
  const results: ForwardResult[] = [];
  const entry = await startTestEntry({
    timeout: TIMEOUT_MS,
    ...setup,
    upstreams,
    context: observed.context,
    onResult: (result) => results.push(result),
  }, onClose);
  const { port } = entry.address() as AddressInfo;
  return { port, results, ...observed };
}

async function waitForClose(
  upstream: EndlessUpstream,
): Promise<EndlessUpstream["connections"][0]> {
  const until = performance.now() + READ_TIME_MS;
  while (upstream.connections.length === 0 && performance.now() < until) {
    await pause(5);
  }
  const connection = upstream.connections[0];
  if (connection === undefined) {
    throw new Error("The connection wasn't closed.");
  }
  return connection;
}

async function expectLimited(
  shape: Shape,
  setup: Setup,
  expected: Reply,
): Promise<void> {
  const upstream = await startEndless(shape);
  const entry = await startEntry([upstream], setup);
  expect(await request(entry.port)).toEqual(expected);
  const { written, closedAfter } = await waitForClose(upstream);
  expect(closedAfter).toBeLessThan(READ_TIME_MS);
  expect(written).toBeLessThan(shape.limit + MAX_SYSTEM_BYTES);
  expect(entry.counted).toContain(`gateway.endless.${shape.shape}`);
  const line = entry.logged.find((facts) => facts["shape"] === shape.shape);
  expect(line).toMatchObject({ request: "a1", upstream: "u0" });
  expect(line!["limit"]).toBeDefined();
  expect(line!["bytes"]).toBeLessThan(
    Math.max(2 * shape.limit, shape.limit + MIB),
  );
  expect(entry.paused).toContain("u0");
  expect(upstream.requests).toBe(1);
}

// Guards against an upstream that holds a connection, fills the entry's memory
// and its link until the route's timeout.
test.each(Object.entries({ ...HEADS, ...BODIES }))(
  "%s without end close the connection, a call that runs once isn't repeated",
  async (_, shape) => {
    await expectLimited(shape, { kind: RouteKind.nonIdempotent }, {
      status: shape.status,
      isWhole: true,
    });
  },
);

test.each(Object.entries(STREAMS))(
  "%s without end in a stream close the connection",
  async (_, shape) => {
    const setup = {
      kind: RouteKind.streaming,
      isResumable: true,
      timeout: STREAM_TIMEOUT_MS,
    };
    await expectLimited(shape, setup, { status: 200, isWhole: false });
  },
);

const answer: TestResponder = ({ message }, socket) => {
  socket.write(
    `HTTP/1.1 200 OK\r\n${names.attempt}: ${message.headers[names.attempt]}` +
      `\r\n${names.digest}: d\r\nContent-Length: 4\r\n\r\ndone`,
  );
};
const answerStream: TestResponder = ({ message }, socket) => {
  socket.write(
    `HTTP/1.1 200 OK\r\n${names.attempt}: ${message.headers[names.attempt]}` +
      `\r\n${names.digest}: d\r\n${EVENTS}Content-Length: 16\r\n\r\n` +
      "id: 2\ndata: b\n\n\n",
  );
};

async function startSound(respond: TestResponder): Promise<TestUpstream> {
  const upstream = await TestUpstream.start(respond);
  onClose(() => upstream.close());
  return upstream;
}

// Guards against a request that is lost although another upstream is sound.
test.each(Object.entries({ ...HEADS, ...BODIES }))(
  "after %s without end an idempotent call goes on at another upstream",
  async (_, shape) => {
    const upstream = await startEndless(shape);
    const entry = await startEntry([upstream, await startSound(answer)], {
      kind: RouteKind.idempotent,
    });
    const reply = await request(entry.port);
    expect(reply).toEqual({ status: 200, isWhole: true });
    await waitForClose(upstream);
    expect(upstream.requests).toBe(1);
  },
);

test.each(Object.entries({ ...HEADS, ...STREAMS }))(
  "after %s without end a stream that may be resumed goes on at another upstream",
  async (_, shape) => {
    const upstream = await startEndless(shape);
    const entry = await startEntry([upstream, await startSound(answerStream)], {
      kind: RouteKind.streaming,
      isResumable: true,
    });
    const reply = await request(entry.port);
    expect(reply).toEqual({ status: 200, isWhole: true });
  },
);

test("a head of one byte each 20 ms ends in time for another upstream", async () => {
  const upstream = await EndlessUpstream.start({
    start: "HTTP/1.1 200 OK\r\n",
    repeated: "a",
    interval: 20,
  });
  onClose(() => upstream.close());
  const entry = await startEntry([upstream, await startSound(answer)], {
    kind: RouteKind.idempotent,
  });
  const reply = await request(entry.port);
  expect(reply).toEqual({ status: 200, isWhole: true });
  const { closedAfter } = await waitForClose(upstream);
  expect(closedAfter).toBeLessThan(byteLimits.headTime + 100);
  expect(entry.counted).toContain("gateway.endless.slow_head");
});

test("a body of one byte each 20 ms is closed at the route's timeout", async () => {
  const upstream = await EndlessUpstream.start({
    start: `${OK}\r\n`,
    repeated: "a",
    interval: 20,
  });
  onClose(() => upstream.close());
  const timeout = 500;
  const entry = await startEntry([upstream], {
    kind: RouteKind.nonIdempotent,
    timeout,
  });
  const reply = await request(entry.port);
  expect(reply).toEqual({ status: 504, isWhole: true });
  const { closedAfter } = await waitForClose(upstream);
  expect(closedAfter).toBeLessThan(timeout + 100);
});

test("the body of a rejection of one byte each 20 ms is closed", async () => {
  const upstream = await EndlessUpstream.start({
    start: `${NOT_RUN}\r\n`,
    repeated: "a",
    interval: 20,
  });
  onClose(() => upstream.close());
  const entry = await startEntry([upstream], { kind: RouteKind.nonIdempotent });
  const startedAt = performance.now();
  const reply = await request(entry.port);
  expect(reply).toEqual({ status: 503, isWhole: true });
  expect(performance.now() - startedAt).toBeLessThan(byteLimits.discardTime);
  const { closedAfter } = await waitForClose(upstream);
  expect(closedAfter).toBeLessThan(byteLimits.discardTime + 100);
  expect(entry.counted).toContain("gateway.endless.slow_discarded_body");
});

test("a connection on which a short rejection was read is used again", async () => {
  const sockets = new Set<unknown>();
  const upstream = await startSound(({ message }, socket) => {
    sockets.add(socket);
    const attempt = message.headers[names.attempt];
    socket.write(
      `${NOT_RUN.replace("ATTEMPT", String(attempt))}Content-Length: 2000` +
        `\r\n\r\n${"x".repeat(2000)}`,
    );
  });
  const entry = await startEntry([upstream], { kind: RouteKind.nonIdempotent });
  for (const attempt of ["a1", "a2", "a3"]) {
    expect((await request(entry.port, attempt)).status).toBe(503);
    await pause(20);
  }
  expect(sockets.size).toBe(1);
  expect(entry.counted.filter((name) => name.includes("endless"))).toEqual([]);
});

type OrdinaryAnswer = { readonly body: Buffer; readonly isStream: boolean };

const comments = ": keep-alive\n\n".repeat(100);
const echoed = `data: ${"x".repeat(300 * 1024)}\n\n`;
const ORDINARY: Record<string, OrdinaryAnswer> = {
  "a body of 16 MB": { body: Buffer.alloc(16 * MIB), isStream: false },
  "an event of 300 KB": {
    body: Buffer.from(`${echoed}id: 1\ndata: a\n\n`),
    isStream: true,
  },
  "comments between events": {
    body: Buffer.from(`${comments}id: 1\ndata: a\n\n`.repeat(100)),
    isStream: true,
  },
};

// Guards against limits that cut answers of sound upstreams.
test.each(
  Object.entries(ORDINARY).flatMap(([name, answer]) => [
    [`${name} with a length`, answer, "length"] as const,
    [`${name} in chunks`, answer, "chunked"] as const,
    [`${name} until the end of the connection`, answer, "end"] as const,
  ]),
)("%s arrives whole", async (_, { body, isStream }, framing) => {
  const upstream = await startSound(({ message }, socket) => {
    const attempt = String(message.headers[names.attempt]);
    const size = body.length;
    const framings = {
      length: `Content-Length: ${size}\r\n`,
      chunked: CHUNKED,
      end: "",
    };
    socket.write(
      "HTTP/1.1 103 Early Hints\r\n\r\n" + OK.replace("ATTEMPT", attempt) +
        (isStream ? EVENTS : "") + framings[framing] + "\r\n",
    );
    if (framing === "chunked") {
      socket.write(`${size.toString(16)}\r\n`);
      socket.write(body);
      socket.write("\r\n0\r\n\r\n");
    } else if (framing === "end") {
      socket.end(body);
    } else {
      socket.write(body);
    }
  });
  const entry = await startEntry([upstream], {
    kind: isStream ? RouteKind.streaming : RouteKind.nonIdempotent,
    isResumable: isStream,
  });
  const response = await fetch(`http://127.0.0.1:${entry.port}/`, {
    headers: { [names.attempt]: "a1" },
  });
  const received = Buffer.from(await response.arrayBuffer());
  expect(received.equals(body)).toBe(true);
  expect(entry.counted.filter((name) => name.includes("endless"))).toEqual([]);
});

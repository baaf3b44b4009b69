import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, Socket } from "node:net";
import type { AttemptOptions } from "../attempts/attempt_options.ts";
import { createTestContext } from "../create_test_context.ts";
import { createTestRequest } from "../create_test_request.ts";
import { forwardCall } from "../forward_call.ts";
import type { Relay } from "./relay.ts";
import { relayHeaders } from "./relay_headers.ts";
import { RelayRefusal } from "./relay_refusal.ts";
import { startTestRelay } from "./start_test_relay.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { TestUpstream } from "../test_upstream.ts";

const closers: (() => void)[] = [];
const refusals: string[] = [];
afterEach(() => {
  refusals.length = 0;
  for (const close of closers.splice(0)) {
    close();
  }
});

const call = createTestRequest({ attempt: "a1", rawHeaders: ["Host", "h"] });

/** Starts the only other entry, which refuses the first request it gets. */
async function createRelay(
  firstRefusal: RelayRefusal,
  wasSent = false,
): Promise<Relay> {
  return await createRelayTo((response) => {
    response.setHeader(names.notRun, "1");
    response.setHeader(relayHeaders.refusal, firstRefusal);
    if (wasSent) {
      response.setHeader(relayHeaders.wasSent, "1");
    }
    response.writeHead(503);
    response.end();
  });
}

/** Starts the only other entry, which responds to all requests but the first. */
async function createRelayTo(
  respondFirst: (response: ServerResponse) => void,
): Promise<Relay> {
  let count = 0;
  return await startTestRelay((_message, response) => {
    count += 1;
    response.setHeader(names.attempt, "a1");
    response.setHeader(names.digest, "d");
    if (count === 1) {
      respondFirst(response);
      return;
    }
    response.end();
  }, (close) => closers.push(close));
}

const options: AttemptOptions = {
  context: createTestContext([], (close) => closers.push(close)),
  excluded: new Set(),
  lastEvent: undefined,
  version: undefined,
  mayBeRefused: false,
  mayHaveRun: false,
  isRetry: false,
  isUsageCounted: false,
  unopened: 0,
  refusedConnections: 0,
  waitUntil: Infinity,
  signal: call.signal,
  mayGoOn: () => false,
  recordRefusal: (refusal) => refusals.push(refusal),
};

test.each<[string, RelayRefusal, string]>([
  ["had no upstream for one request", RelayRefusal.noUpstream, "sent"],
  ["is busy", RelayRefusal.overloaded, "sent"],
  ["doubts its own links", RelayRefusal.inDoubt, "sent"],
  ["reaches no upstream itself", RelayRefusal.unreachable, "refused"],
])(
  "after an entry that %s (%s), the next request is %s",
  async (_name, refusal, next) => {
    const relay = await createRelay(refusal);
    expect(await relay.send(call, options))
      .toMatchObject({ kind: "refused", refusal });
    const result = await relay.send(call, options);
    expect(result.kind).toBe(next);
    if (result.kind === "sent" && result.response.kind === "head") {
      result.response.message.resume();
    }
  },
);

// Guards against a shortage of descriptors here that keeps requests from sound
// entries once it is over.
test("an entry that couldn't be connected to for want of a descriptor is asked again", async () => {
  let hasDescriptors = false;
  const relay = await startTestRelay(
    (_message, response) => {
      response.setHeader(names.attempt, "a1");
      response.setHeader(names.digest, "d");
      response.end();
    },
    (close) => closers.push(close),
    {
      open: (target) => {
        if (hasDescriptors) {
          return connect(target);
        }
        const socket = new Socket();
        const error = Object.assign(new Error("connect"), { code: "EMFILE" });
        process.nextTick(() => socket.destroy(error));
        return socket;
      },
    },
  );
  expect(await relay.send(call, options)).toMatchObject({ kind: "refused" });
  hasDescriptors = true;
  const result = await relay.send(call, options);
  expect(result).toMatchObject({ kind: "sent", response: { kind: "head" } });
  if (result.kind === "sent" && result.response.kind === "head") {
    result.response.message.resume();
  }
});

test("an entry at which a request waits until its caller leaves is asked again", async () => {
  const caller = new AbortController();
  const relay = await createRelayTo(() => caller.abort("caller_left"));
  const { signal } = caller;
  expect(await relay.send(call, { ...options, signal }))
    .toMatchObject({ kind: "sent", response: { kind: "unknown" } });
  const result = await relay.send(call, options);
  expect(result).toMatchObject({ kind: "sent", response: { kind: "head" } });
  if (result.kind === "sent" && result.response.kind === "head") {
    result.response.message.resume();
  }
});

// Guards against requests that a stop cuts and whose line doesn't tell that
// another entry had them.
test("the progress of a request names the entry that got it", async () => {
  const relayed = createTestRequest({ attempt: "a1" });
  const relay = await createRelayTo((response) => response.end());
  const result = await relay.send(relayed, options);
  expect(relayed.progress.describe(0))
    .toMatchObject({ upstream: "entry:other", sentAt: expect.any(Number) });
  if (result.kind === "sent" && result.response.kind === "head") {
    result.response.message.resume();
  }
});

test("the log names the entry that refused, why and how long it took", async () => {
  const relay = await createRelay(RelayRefusal.unreachable);
  await relay.send(call, options);
  expect(refusals).toEqual([
    expect.stringMatching(
      /^entry:other: refused, unreachable, status 503 \(sent_after=\d+ms head_after=\d+ms\)$/,
    ),
  ]);
});

test("a request that an upstream rejected counts as an attempt at the entry that passed it on", async () => {
  const relay = await createRelay(RelayRefusal.noUpstream, true);
  expect(await relay.send(call, options))
    .toMatchObject({ kind: "sent", response: { kind: "not_run" } });
});

test("a request of another entry is sent to one upstream, and the refusal says that it was", async () => {
  const rejecting = await Promise.all([startRejecting(), startRejecting()]);
  const context = createTestContext(
    rejecting.map(({ address }) => ({ address })),
    (close) => closers.push(close),
  );
  const result = await respond((response) =>
    forwardCall({ ...call, relayedBy: "other" }, { context, response })
  );
  expect(rejecting[0]!.received.length + rejecting[1]!.received.length).toBe(1);
  expect(result.status).toBe(503);
  expect(result.headers.get(relayHeaders.wasSent)).toBe("1");
});

async function startRejecting(): Promise<TestUpstream> {
  const upstream = await TestUpstream.start((_request, socket) =>
    void socket.write(
      "HTTP/1.1 503 Full\r\nx-not-run: 1\r\n" +
        "x-attempt: a1\r\nContent-Length: 0\r\n\r\n",
    )
  );
  closers.push(() => upstream.close());
  return upstream;
}

/** Returns the response that a handler sends to a caller. */
async function respond(
  handle: (response: ServerResponse) => Promise<unknown>,
): Promise<Response> {
  const server = createServer((_message, response) => void handle(response));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  closers.push(() => server.close());
  return await fetch(
    `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
}

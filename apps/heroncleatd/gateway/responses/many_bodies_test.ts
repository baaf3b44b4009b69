import { request } from "node:http";
import type { AddressInfo } from "node:net";
import { type Route, RouteKind } from "@heroncleat/serving";
import { setTimeout as pause } from "node:timers/promises";
import { byteLimits } from "../../common/byte_limits.ts";
import { createTestContext } from "../create_test_context.ts";
import type { ForwardResult } from "../forward_result.ts";
import { startTestEntry } from "../start_test_entry.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { TestUpstream } from "../test_upstream.ts";

const MIB = 1024 * 1024;
const CALLERS = 40;
const BODY_BYTES = 12 * MIB;
const TIMEOUT_MS = 30_000;
/** What the held bodies, and bytes that aren't collected yet, may take. */
const MAX_GROWTH_BYTES = 160 * MIB;

const closers: (() => void)[] = [];
const onClose = (close: () => void) => void closers.push(close);
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

type Reply = { readonly status: number; readonly bytes: number };

/** Sends a call and counts the bytes of its body. */
function call(
  port: number,
  { attempt, readFrom = 0 }: { attempt: string; readFrom?: number },
): Promise<Reply & { isWhole: boolean }> {
  return new Promise((resolve) => {
    const outgoing = request({
      port,
      host: "127.0.0.1",
      agent: false,
      headers: { [names.attempt]: attempt },
    }, (response) => {
      let bytes = 0;
      const settle = () =>
        resolve({
          status: response.statusCode!,
          bytes,
          isWhole: response.complete,
        });
      response.on("error", settle);
      response.on("close", settle);
      setTimeout(() => {
        response.on("data", (chunk: Buffer) => bytes += chunk.length);
      }, readFrom);
    });
    outgoing.on(
      "error",
      () => resolve({ status: 0, bytes: 0, isWhole: false }),
    );
    outgoing.end();
  });
}

/** Starts an upstream that sends a body of a stated length, or a part of it. */
async function startUpstream({ sent = BODY_BYTES, isStated = true } = {}) {
  const bytes = Buffer.alloc(sent, "x");
  const upstream = await TestUpstream.start(({ message }, socket) => {
    socket.on("error", () => {});
    socket.write(
      `HTTP/1.1 200 OK\r\n${names.attempt}: ${message.headers[names.attempt]}` +
        `\r\n${names.digest}: d\r\n` +
        (isStated
          ? `Content-Length: ${BODY_BYTES}\r\n\r\n`
          : `Transfer-Encoding: chunked\r\n\r\n${sent.toString(16)}\r\n`),
    );
    socket.write(bytes, () => {
      if (!isStated) {
        socket.write("\r\n0\r\n\r\n");
      } else if (sent < BODY_BYTES) {
        socket.resetAndDestroy();
      }
    });
  });
  onClose(() => upstream.close());
  return upstream;
}

/** Watches the memory outside of the heap, where bodies are. */
function watchMemory(): () => number {
  const before = process.memoryUsage().arrayBuffers;
  let peak = 0;
  const timer = setInterval(() => {
    peak = Math.max(peak, process.memoryUsage().arrayBuffers - before);
  }, 5);
  return () => {
    clearInterval(timer);
    return peak;
  };
}

async function startEntry(kind: Route["kind"], upstream: TestUpstream) {
  const results: ForwardResult[] = [];
  const context = createTestContext([upstream], onClose);
  const entry = await startTestEntry({
    upstreams: [upstream],
    kind,
    timeout: TIMEOUT_MS,
    context,
    onResult: (result) => results.push(result),
  }, onClose);
  const { port } = entry.address() as AddressInfo;
  return { port, context, results };
}

// Guards against bodies of a stated length that fill the entry's memory, so
// that it ends with everything it has accepted.
test.each([0, 300])(
  "many long bodies at once arrive whole, callers read after %i ms",
  async (readFrom) => {
    const upstream = await startUpstream();
    const { port, context } = await startEntry(
      RouteKind.nonIdempotent,
      upstream,
    );
    const endMemory = watchMemory();
    const replies = await Promise.all(
      Array.from(
        { length: CALLERS },
        (_, at) => call(port, { attempt: `a${at}`, readFrom }),
      ),
    );
    expect(endMemory()).toBeLessThan(MAX_GROWTH_BYTES);
    expect(replies).toEqual(
      Array(CALLERS).fill({ status: 200, bytes: BODY_BYTES, isWhole: true }),
    );
    expect(context.bodies.withLength.held).toBe(0);
  },
  TIMEOUT_MS,
);

test("a body that is passed on as it arrives and breaks off doesn't look whole", async () => {
  const upstream = await startUpstream({ sent: BODY_BYTES - MIB });
  const { port, context, results } = await startEntry(
    RouteKind.idempotent,
    upstream,
  );
  context.bodies.withLength.tryHold(byteLimits.heldWithLength);
  const reply = await call(port, { attempt: "a1" });
  expect(reply.isWhole).toBe(false);
  expect(reply.bytes).toBeLessThan(BODY_BYTES);
  while (results.length === 0) {
    await pause(5);
  }
  expect(results).toMatchObject([{ outcome: "failed", endedBy: "upstream" }]);
  expect(upstream.received).toHaveLength(1);
});

// Guards against callers that fill the memory as they don't read.
test(
  "the largest of many bodies that callers don't read is broken off",
  async () => {
    const upstream = await startUpstream({ isStated: false });
    const { port, context } = await startEntry(
      RouteKind.nonIdempotent,
      upstream,
    );
    const pending: ReturnType<typeof call>[] = [];
    for (let at = 0; at < 6; at += 1) {
      pending.push(call(port, { attempt: `a${at}`, readFrom: 2000 }));
      // Each is complete at the entry before the next one begins.
      await pause(200);
    }
    const replies = await Promise.all(pending);
    const whole = replies.filter(({ isWhole }) => isWhole);
    expect(whole.length).toBeGreaterThanOrEqual(1);
    expect(whole.length).toBeLessThan(replies.length);
    expect(context.bodies.unread.total).toBe(0);
  },
  TIMEOUT_MS,
);

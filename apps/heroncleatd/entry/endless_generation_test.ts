import { Agent } from "node:http";
import { createSystemClock } from "@heroncleat/base";
import { byteLimits } from "../common/byte_limits.ts";
import { HeldBytes } from "../common/held_bytes.ts";
import { EndlessUpstream } from "../gateway/responses/endless_upstream.ts";
import { UpstreamStream } from "./upstream_stream.ts";

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

const MIB = 1024 * 1024;
const MAX_TOKENS = 16;
/** Time in which an endless response must be closed, on a busy machine. */
const CLOSE_TIME_MS = 3000;
/** What the buffers of a connection take that nobody reads. */
const MAX_SYSTEM_BYTES = 8 * MIB;

const LINE = "x".repeat(1024);
const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const event = (delta: object, reason: string | null = null) =>
  `data: ${
    JSON.stringify({ choices: [{ delta, finish_reason: reason }] })
  }\n\n`;
const TOKEN = event({ content: "a" });
const FINISH = `${event({}, "stop")}data: [DONE]\n\n`;

type Shape = {
  readonly start: string;
  readonly repeated: string;
  readonly shape: string;
  readonly end: "failed" | "finished";
};

const SHAPES: Record<string, Shape> = {
  "one line": {
    start: `${CHUNKED}6\r\ndata: \r\n`,
    repeated: chunk(LINE),
    shape: "line",
    end: "failed",
  },
  "one event of many lines": {
    start: CHUNKED,
    repeated: chunk(`data: ${LINE}\n`),
    shape: "event",
    end: "failed",
  },
  "comments": {
    start: CHUNKED,
    repeated: chunk(`:${LINE}\n\n`),
    shape: "without_progress",
    end: "failed",
  },
  "events without text": {
    start: CHUNKED,
    repeated: chunk(event({})),
    shape: "without_progress",
    end: "failed",
  },
  "chunk extensions": {
    start: CHUNKED,
    repeated: `1;${LINE}\r\nx\r\n`,
    shape: "framing",
    end: "failed",
  },
  "informational heads": {
    start: "",
    repeated: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    shape: "informational_heads",
    end: "failed",
  },
  "header fields": {
    start: HEAD,
    repeated: "a: b\r\n",
    shape: "head",
    end: "failed",
  },
  "long texts": {
    start: CHUNKED,
    repeated: chunk(event({ content: "a".repeat(100_000) })),
    shape: "generated_text",
    end: "failed",
  },
  "tokens beyond the limit of the request": {
    start: CHUNKED,
    repeated: chunk(TOKEN),
    shape: "generated_tokens",
    end: "finished",
  },
};

type Generation = {
  readonly end: string;
  readonly chunks: number;
  readonly exceeded: readonly string[];
};

/** Runs a generation until it ends or its connection should be closed. */
function generate(address: string): Promise<Generation> {
  const agent = new Agent({ keepAlive: true });
  closers.push(() => agent.destroy());
  const exceeded: string[] = [];
  let chunks = 0;
  return new Promise((resolve) => {
    const settle = (end: string) => {
      clearTimeout(timer);
      resolve({ end, chunks, exceeded });
    };
    const timer = setTimeout(() => {
      stream.cancel();
      settle("hung");
    }, CLOSE_TIME_MS);
    const stream = new UpstreamStream({
      agent,
      address,
      path: "/v1/chat/completions",
      body: {},
      attempt: "a",
      connectTimeout: CLOSE_TIME_MS,
      maxTokens: MAX_TOKENS,
      heldBytes: new HeldBytes(),
      clock: createSystemClock(),
      maySend: () => true,
      handlers: {
        onHead: () => {},
        onChunk: () => chunks += 1,
        onEndless: ({ shape }) => exceeded.push(shape),
        onFinished: (_count, reason) => settle(`finished ${reason}`),
        onFailed: ({ isBroken }) => settle(isBroken ? "broken" : "failed"),
      },
    });
  });
}

async function startEndless(
  response: Parameters<typeof EndlessUpstream.start>[0],
): Promise<EndlessUpstream> {
  const upstream = await EndlessUpstream.start(response);
  closers.push(() => upstream.close());
  return upstream;
}

/** Bytes that an upstream sent until its connection was closed. */
async function bytesSent(upstream: EndlessUpstream): Promise<number> {
  const until = performance.now() + CLOSE_TIME_MS;
  while (upstream.connections.length === 0 && performance.now() < until) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  return upstream.connections[0]?.written ?? Infinity;
}

// Guards against engines that fill the entry's memory with bytes without end.
test.each(Object.entries(SHAPES))(
  "%s without end close the connection of a generation",
  async (_, shape) => {
    const upstream = await startEndless(shape);
    const { end, chunks, exceeded } = await generate(upstream.address);
    expect(end).toBe(shape.end === "failed" ? "failed" : "finished length");
    expect(exceeded).toEqual([shape.shape]);
    expect(chunks).toBeLessThanOrEqual(MAX_TOKENS);
    expect(await bytesSent(upstream)).toBeLessThan(
      byteLimits.withoutProgress + MAX_SYSTEM_BYTES,
    );
  },
);

test("bytes without end behind a finished generation close its connection", async () => {
  const upstream = await startEndless({
    start: CHUNKED + chunk(TOKEN + FINISH),
    repeated: chunk(LINE),
  });
  const { end, chunks, exceeded } = await generate(upstream.address);
  expect({ end, chunks, exceeded }).toEqual({
    end: "finished stop",
    chunks: 1,
    exceeded: [],
  });
  expect(await bytesSent(upstream)).toBeLessThan(
    byteLimits.discarded + MAX_SYSTEM_BYTES,
  );
});

test("a generation with as many tokens as its request allows is finished", async () => {
  const upstream = await startEndless({
    start: CHUNKED + chunk(TOKEN.repeat(MAX_TOKENS) + FINISH),
    repeated: "0\r\n\r\n",
    interval: CLOSE_TIME_MS,
  });
  expect(await generate(upstream.address)).toEqual({
    end: "finished stop",
    chunks: MAX_TOKENS,
    exceeded: [],
  });
});

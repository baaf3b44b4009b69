import { Agent as HttpAgent } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { createSystemClock } from "@heroncleat/base";
import { HeldBytes } from "../common/held_bytes.ts";
import { cutHeads } from "../gateway/responses/cut_heads.ts";
import { sendOnce } from "./send_once.ts";
import type { ServiceCall } from "./service_call.ts";
import { UpstreamStream } from "./upstream_stream.ts";

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) {
    await close();
  }
});

const { HEAD, SHAPES } = cutHeads;
const TIMEOUT_MS = 1000;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const TOKEN = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\n';
const FINISH = 'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n';

/** Heads that are whole, with bodies that aren't. */
const CUT_BODIES: Record<string, string> = {
  "at its end": `${HEAD}\r\n`,
  "in its body": `${HEAD}\r\n${TOKEN}`,
  "in its last event": `${HEAD}\r\n${TOKEN}${FINISH}data: [DONE]\n`,
  "in chunks that close": `${HEAD}Transfer-Encoding: chunked\r\n` +
    `Connection: close\r\n\r\n${chunk(TOKEN + FINISH)}`,
  "in a length that closes":
    `${HEAD}Content-Length: 999\r\nConnection: close\r\n\r\n${TOKEN}${FINISH}`,
};

const ends: ((socket: Socket) => void)[] = [
  (socket) => void socket.end(),
  (socket) => void setTimeout(() => socket.end(), 20),
  (socket) => void setTimeout(() => socket.resetAndDestroy(), 20),
];

/** Starts a server that sends bytes for a request and ends the connection. */
async function startServer(
  bytes: string,
  end: (socket: Socket) => void,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(bytes);
      end(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  closers.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Runs a generation; returns what its stream reported, in order. */
function generate(address: string): Promise<string[]> {
  const agent = new HttpAgent({ keepAlive: true });
  closers.push(() => agent.destroy());
  const reports: string[] = [];
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve([...reports, "hung"]), TIMEOUT_MS);
    const end = (report: string) => {
      reports.push(report);
      clearTimeout(timer);
      setTimeout(() => resolve(reports), 10);
    };
    new UpstreamStream({
      agent,
      address,
      path: "/v1/chat/completions",
      body: {},
      attempt: "a",
      connectTimeout: TIMEOUT_MS,
      maxTokens: undefined,
      heldBytes: new HeldBytes(),
      clock: createSystemClock(),
      maySend: () => true,
      handlers: {
        onHead: () => {},
        onChunk: () => reports.push("chunk"),
        onEndless: () => {},
        onFinished: () => end("finished"),
        onFailed: () => end("failed"),
      },
    });
  });
}

async function callService(address: string): Promise<string> {
  const agent = new HttpAgent({ keepAlive: true });
  closers.push(() => agent.destroy());
  const call = {
    routed: { method: "POST", path: "/", workspace: "bistro" },
    contentType: "text/plain",
    body: Buffer.from("x"),
    key: "k",
  } as unknown as ServiceCall;
  const result = await sendOnce(call, {
    agent,
    address,
    attempt: "a",
    timeout: TIMEOUT_MS,
    connectTimeout: TIMEOUT_MS,
    heldBytes: new HeldBytes(),
    onHead: () => {},
    maySend: () => true,
    hasCrashed: () => Promise.resolve(false),
  });
  return result.kind;
}

// Guards against responses that end as whole since their upstream stopped.
test.each(Object.entries({ ...SHAPES, ...CUT_BODIES }))(
  "a generation whose response is cut %s isn't finished",
  async (_, bytes) => {
    for (const end of ends) {
      const reports = await generate(await startServer(bytes, end));
      expect(reports.filter((report) => report !== "chunk"))
        .toEqual(["failed"]);
    }
  },
);

test.each(Object.entries(SHAPES))(
  "a call to a service whose response is cut %s has no answer",
  async (_, bytes) => {
    for (const end of ends) {
      expect(await callService(await startServer(bytes, end))).toBe("unknown");
    }
  },
);

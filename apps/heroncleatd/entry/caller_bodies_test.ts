import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { BodyMemory } from "../common/body_memory.ts";
import { KeyRing } from "../common/key_ring.ts";
import { CallerServer } from "./caller_server.ts";
import type { EntryParts } from "./entry_parts.ts";

const KIB = 1024;
const MIB = 1024 * KIB;
const MAX_BODY_BYTES = 64 * KIB;
const LONG_BODY_BYTES = 40 * MIB;
const HEADER_TIMEOUT_MS = 300_000;
const MAX_CONNECTIONS = 9;
const SETTLE_TIME_MS = 100;
const HOST = "127.0.9.54";
const KEY = "k";
const SECRET = "secret";

let server: CallerServer;
let port: number;
let counted: string[] = [];

beforeEach(async () => {
  counted = [];
  port = await findFreePort();
  server = new CallerServer(createParts({ port }));
  await server.listen();
});

afterEach(() => {
  server.stopListening();
  server.close();
});

// Guards against refusals that callers don't get, or whose bodies are read on.
test.each([
  ["413", "a body over the limit", head("POST /v1/chat/completions", KEY)],
  ["401", "a body without a key", head("POST /v1/chat/completions")],
  ["403", "a body with a wrong key", head("POST /services/a/b", "wrong")],
  ["401", "an announcement without a secret", head("POST /v1/upstreams")],
  ["413", "a long announcement", head("POST /v1/upstreams", SECRET)],
])("%s for %s ends its connection", async (status, _, start) => {
  const stated = await exchange(
    `${start}Content-Length: 1000000000\r\n\r\n${"x".repeat(KIB)}`,
  );
  expect(stated).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
  expect(stated).toMatch(/connection: close/i);
  expect(stated).toContain("Remedy:");
  const chunk = `${KIB.toString(16)}\r\n${"x".repeat(KIB)}\r\n`;
  const chunked = await exchange(
    `${start}Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(500)}`,
  );
  expect(chunked).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
  expect(chunked).toMatch(/connection: close/i);
});

// Guards against resets that take a refusal from callers that are sending.
test.each([
  ["413", "over the limit", KEY],
  ["401", "without a key", ""],
])(
  "a caller that reads once it has sent everything gets %s for a long body %s",
  async (status, _, key) => {
    const caller = connect({ host: HOST, port, allowHalfOpen: true });
    let received = "";
    caller.on("error", ({ message }) => received += message);
    caller.write(
      `${head("POST /v1/chat/completions", key)}` +
        `Content-Length: ${LONG_BODY_BYTES}\r\n\r\n`,
    );
    const sent = new Promise((resolve) => {
      caller.once("close", resolve);
      caller.write(Buffer.alloc(LONG_BODY_BYTES, "x"), resolve);
    });
    await sent;
    caller.on("data", (bytes) => received += bytes);
    await new Promise((resolve) => {
      caller.once("end", resolve);
      caller.once("close", resolve);
    });
    caller.destroy();
    expect(received).toMatch(
      new RegExp(`^HTTP/1.1 ${status} [^]*Remedy: .*}$`),
    );
  },
);

// Guards against a connection that is closed though its request has no body.
test("a refused request without a body keeps its connection", async () => {
  const request = `${head("GET /v1/models")}\r\n`;
  const received = await exchange(
    `${request}${request}${head("GET /v1/models", "wrong")}` +
      "Connection: close\r\n\r\n",
  );
  expect(received.match(/HTTP\/1.1 40[13] /g)).toHaveLength(3);
});

// Guards against announcements that hold more memory together than there is.
test("unfinished announcements that hold too much are refused", async () => {
  const chunk = `${KIB.toString(16)}\r\n${"x".repeat(KIB)}\r\n`;
  const bytes = `${head("POST /v1/upstreams", SECRET)}` +
    `Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(60)}`;
  const first = await Promise.race(
    Array.from({ length: 8 }, () => exchange(bytes)),
  );
  expect(first).toMatch(/^HTTP\/1.1 429 /);
});

// Guards against idle connections that keep ordinary callers out.
test("a new connection at the limit closes the longest idle one", async () => {
  const idle = Array.from(
    { length: MAX_CONNECTIONS },
    () => connect(port, HOST).on("error", () => {}),
  );
  await Promise.all(idle.map((socket) => once(socket, "connect")));
  const isClosed = once(idle[0]!, "close");
  const received = await exchange(
    `${head("GET /v1/models")}Connection: close\r\n\r\n`,
  );
  expect(received).toMatch(/^HTTP\/1.1 401 /);
  await isClosed;
  expect(counted).toContain("connections.closed_idle.callers");
  for (const socket of idle) {
    socket.destroy();
  }
});

// Guards against unfinished bodies that keep ordinary callers out.
test("a new connection at the limit gives up the oldest body", async () => {
  const unfinished = `${head("POST /v1/chat/completions", KEY)}` +
    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n";
  const replies = Array.from(
    { length: MAX_CONNECTIONS },
    () => exchange(unfinished),
  );
  await new Promise((resolve) => setTimeout(resolve, SETTLE_TIME_MS));
  const received = await exchange(
    `${head("GET /v1/models")}Connection: close\r\n\r\n`,
  );
  expect(received).toMatch(/^HTTP\/1.1 401 /);
  expect(await replies[0]).toMatch(/^HTTP\/1.1 429 /);
  expect(counted).toContain("connections.closed_body.callers");
});

/** Resolves to everything received until the connection closes. */
async function exchange(bytes: string): Promise<string> {
  const caller = connect(port, HOST);
  let received = "";
  caller.on("data", (chunk) => received += chunk);
  caller.on("error", () => {});
  caller.write(bytes);
  await once(caller, "close");
  return received;
}

/** Lines of a head, without its end. */
function head(line: string, key = ""): string {
  const authorization = key === "" ? "" : `Authorization: Bearer ${key}\r\n`;
  return `${line} HTTP/1.1\r\nHost: entry\r\n${authorization}`;
}

function createParts({ port }: { port: number }): EntryParts {
  const log = { debug() {}, info() {}, warn() {}, error() {} };
  return {
    context: {
      entry: {
        caller_address: `${HOST}:${port}`,
        header_timeout: HEADER_TIMEOUT_MS,
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_BODY_BYTES,
        max_body_chunks: 4096,
        announcement_memory: 300 * KIB,
        default_deadline: 30_000,
      },
      sharedSecret: SECRET,
      callers: new KeyRing({ bistro: KEY }),
      clock: { now: () => 0, wall: () => 0, steady: () => 0 },
      bodies: new BodyMemory({ steady: () => 0 }),
      log: () => log,
      metrics: { increment: (name: string) => counted.push(name) },
    },
    isShuttingDown: () => false,
  } as unknown as EntryParts;
}

async function findFreePort(): Promise<number> {
  const probe = createServer().listen(0, HOST);
  await once(probe, "listening");
  const { port } = probe.address() as AddressInfo;
  probe.close();
  await once(probe, "close");
  return port;
}

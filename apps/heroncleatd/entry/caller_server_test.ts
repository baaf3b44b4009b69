import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { ForwardedAnswer } from "@heroncleat/schema";
import { BodyMemory } from "../common/body_memory.ts";
import { KeyRing } from "../common/key_ring.ts";
import { CallerServer } from "./caller_server.ts";
import type { EntryParts } from "./entry_parts.ts";

const REQUEST = "GET /v1/requests/r1 HTTP/1.1\r\nhost: h\r\n" +
  "authorization: Bearer k\r\n\r\n";
/** Incomplete, as of a caller that pipelines its requests. */
const PARTIAL_REQUEST = "GET / HTTP/1.1\r\nho";
const HEADER_TIMEOUT_MS = 200;

let server: CallerServer;
let caller: Socket;
let isClosed = Promise.resolve();
let received = "";
let counted: string[] = [];
let logged: object[] = [];
/** Ends the response of the request in progress. */
let finish: (reply: ForwardedAnswer) => void = () => {};

beforeEach(async () => {
  received = "";
  counted = [];
  logged = [];
  const address = await findFreeAddress();
  server = new CallerServer(createParts(address));
  await server.listen();
  caller = connect(Number(address.split(":")[1]), "127.0.0.1");
  caller.on("data", (chunk) => received += chunk);
  caller.on("error", () => {});
  isClosed = new Promise((resolve) => caller.once("close", () => resolve()));
});

afterEach(() => {
  caller.destroy();
  server.stopListening();
  server.close();
});

// Guards against a generation that is cut because of what its caller sent behind
// the request.
test.each([
  ["bytes that are no request", "!\r\n\r\n"],
  ["a partial request that times out", PARTIAL_REQUEST],
])("%s behind a request leave its response whole", async (_, bytes) => {
  caller.write(REQUEST);
  await waitFor(() => received.includes("first"));
  caller.write(bytes);
  await new Promise((resolve) => setTimeout(resolve, 3 * HEADER_TIMEOUT_MS));
  finish(createReply({ text: "last", finished: true }));
  await isClosed;
  expect(received).toContain("last");
  expect(received).toMatch(/\[DONE\]\s+0\r\n\r\n$/);
  expect(received).not.toContain("400 Bad Request");
  expect(counted).toEqual([]);
});

test("bytes that are no request are answered with 400 and counted", async () => {
  caller.write("!\r\n\r\n");
  await isClosed;
  expect(received).toMatch(/^HTTP\/1\.1 400 /);
  expect(counted).toEqual(["callers.closed.caller_server"]);
});

// Guards against generations that are cut without a line that says by whom.
test.each([
  ["caller", "ECONNRESET", () => caller.resetAndDestroy()],
  ["caller", "fin", () => caller.end()],
  ["shutdown", "open", () => server.close()],
])("a cut generation has a line: %s, %s", async (endedBy, connection, cut) => {
  caller.write(REQUEST);
  await waitFor(() => received.includes("first"));
  cut();
  await waitFor(() => logged.length > 0);
  expect(logged).toEqual([
    { request: "r1", endedBy, connection, took: expect.any(Number) },
  ]);
  expect(counted).toEqual([`callers.ended_by.${endedBy}`]);
  finish(createReply({ text: "last", finished: true }));
});

/** Parts of an entry that holds one response, whose first piece is there. */
function createParts(address: string): EntryParts {
  let reads = 0;
  const log = {
    debug() {},
    info: (_: string, fields: object) => void logged.push(fields),
    warn() {},
    error() {},
  };
  return {
    context: {
      entry: {
        caller_address: address,
        header_timeout: HEADER_TIMEOUT_MS,
        max_connections: 9,
        max_body_chunks: 4096,
        announcement_memory: 1024,
        default_deadline: 30_000,
      },
      sharedSecret: "secret",
      callers: new KeyRing({ bistro: "k" }),
      bodies: new BodyMemory({ steady: () => 0 }),
      clock: { now: () => 0, wall: () => 0 },
      log: () => log,
      metrics: { increment: (name: string) => counted.push(name) },
    },
    responses: {
      read: () => {
        reads += 1;
        return reads === 1
          ? Promise.resolve(createReply({ text: "first", finished: false }))
          : new Promise((resolve) => finish = resolve);
      },
    },
    isShuttingDown: () => false,
  } as unknown as EntryParts;
}

function createReply(
  { text, finished }: { text: string; finished: boolean },
): ForwardedAnswer {
  return {
    found: true,
    denied: false,
    upstream: "u1",
    record: { id: "r1", model: "m", kind: "chat", stream: true },
    pieces: [{ position: 0, text, tokens: 1 }],
    finished,
    finishReason: "stop",
  } as unknown as ForwardedAnswer;
}

async function findFreeAddress(): Promise<string> {
  const probe = createServer().listen(0, "127.0.0.1");
  await once(probe, "listening");
  const { port } = probe.address() as AddressInfo;
  probe.close();
  await once(probe, "close");
  return `127.0.0.1:${port}`;
}

async function waitFor(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

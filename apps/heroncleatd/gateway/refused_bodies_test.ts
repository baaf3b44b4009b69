import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { waitUntil } from "../hub/wait_until.ts";
import type { RunningGateway } from "./running_gateway.ts";
import { testGateway } from "./test_gateway.ts";
import { testHeaderNames as names } from "./test_header_names.ts";

const HOST = "127.0.9.83";
const ADDRESS = `${HOST}:25551`;
const CONTROL = "hub:1";
const KIB = 1024;
const MIB = 1024 * KIB;
const MAX_BODY_BYTES = MIB;
const PIECE = Buffer.alloc(64 * KIB, "x");
const CHUNK = Buffer.concat([
  Buffer.from(`${PIECE.length.toString(16)}\r\n`),
  PIECE,
  Buffer.from("\r\n"),
]);
const REFUSED_BYTES = 40 * MIB;
/** What is read of a refused body, and what the system's buffers take. */
const MAX_SENT_BYTES = 80 * MIB;
const CROWD = 20;
const ORDINARY_CALLS = 30;
const MAX_GROWTH_BYTES = 100 * MIB;

let gateway: RunningGateway;

beforeEach(async () => {
  gateway = await testGateway.start({
    address: ADDRESS,
    noticeAddress: `${HOST}:25552`,
    gracePeriod: 200,
    control: CONTROL,
    pool: testGateway.createPool(testGateway.createReply({
      address: ADDRESS,
      control: CONTROL,
      upstreams: [],
      document: testGateway.createDocument([testGateway.createRoute({})], {
        limits: {
          maxHeaderBytes: 4096,
          maxBodyBytes: MAX_BODY_BYTES,
          headerTimeout: 500,
          idleTimeout: 5000,
        },
      }),
    })),
  });
  await waitUntil(() => gateway.isReady());
});

afterEach(() => gateway.stop());

type Framing = "stated" | "chunked";

/** Sends the head of a request. */
async function begin(
  framing: Framing,
  name = "inn.example",
): Promise<Socket> {
  const [host, port] = ADDRESS.split(":");
  const socket = connect({
    host: host!,
    port: Number(port),
    allowHalfOpen: true,
  });
  socket.on("error", () => {});
  await once(socket, "connect");
  socket.write(
    `POST / HTTP/1.1\r\nHost: ${name}\r\n` +
      `${names.attempt}: a1\r\n` +
      (framing === "stated"
        ? `Content-Length: ${REFUSED_BYTES}\r\n\r\n`
        : "Transfer-Encoding: chunked\r\n\r\n"),
  );
  return socket;
}

/** Sends a part of a body; resolves to whether the connection is still open. */
function sendPart(socket: Socket, framing: Framing): Promise<boolean> {
  if (socket.destroyed) {
    return Promise.resolve(false);
  }
  return new Promise((resolve) => {
    socket.once("close", () => resolve(false));
    socket.write(
      framing === "stated" ? PIECE : CHUNK,
      (error) => resolve(!error),
    );
  }).finally(() => socket.removeAllListeners("close")) as Promise<boolean>;
}

/** Sends a body to its end, and only then reads the response. */
async function sendThenRead(framing: Framing, name?: string): Promise<string> {
  const socket = await begin(framing, name);
  for (let sent = 0; sent < REFUSED_BYTES; sent += PIECE.length) {
    if (!await sendPart(socket, framing)) {
      return `reset after ${sent} bytes`;
    }
  }
  if (framing === "chunked") {
    socket.write("0\r\n\r\n");
  }
  let received = "";
  socket.on("data", (bytes) => received += bytes);
  await waitUntil(() => received.endsWith('"}') || socket.destroyed);
  socket.destroy();
  return received;
}

/** Sends a small request; resolves to what was received. */
async function callOrdinarily(): Promise<string> {
  const [host, port] = ADDRESS.split(":");
  const socket = connect({ host: host!, port: Number(port) });
  let received = "";
  socket.on("data", (bytes) => received += bytes);
  socket.on("error", () => {});
  socket.write(
    `POST / HTTP/1.1\r\nHost: inn.example\r\n${names.attempt}: o1\r\n` +
      "Connection: close\r\nContent-Length: 1\r\n\r\nx",
  );
  await once(socket, "close");
  return received;
}

// Guards against resets that take a refusal from callers that are sending.
test.each<Framing>(["stated", "chunked"])(
  "a caller that reads once it has sent a body far over the limit gets its refusal (%s)",
  async (framing) => {
    expect(await sendThenRead(framing)).toMatch(
      /^HTTP\/1\.1 413 [^]*Remedy: .*"}$/,
    );
  },
);

test("a caller that reads once it has sent a long body to an unknown host gets its refusal", async () => {
  expect(await sendThenRead("chunked", "none.example")).toMatch(
    /^HTTP\/1\.1 404 [^]*Remedy: .*"}$/,
  );
});

// Guards against callers that keep an entry reading.
test("callers that send without end get their refusals and are cut, fill no memory and keep out no others", async () => {
  const before = process.memoryUsage().arrayBuffers;
  let peak = 0;
  const callers = Array.from({ length: CROWD }, async () => {
    const socket = await begin("chunked");
    let received = "";
    socket.on("data", (bytes) => received += bytes);
    let sent = 0;
    while (await sendPart(socket, "chunked")) {
      sent += PIECE.length;
      peak = Math.max(peak, process.memoryUsage().arrayBuffers - before);
    }
    return { received, sent };
  });
  for (let at = 0; at < ORDINARY_CALLS; at += 1) {
    // Without an upstream.
    expect(await callOrdinarily()).toMatch(/^HTTP\/1\.1 503 [^]*Remedy: .*"}$/);
  }
  for (const { received, sent } of await Promise.all(callers)) {
    expect(received).toMatch(/^HTTP\/1\.1 413 [^]*Remedy: .*"}$/);
    expect(sent).toBeLessThan(MAX_SENT_BYTES);
  }
  expect(peak).toBeLessThan(MAX_GROWTH_BYTES);
});

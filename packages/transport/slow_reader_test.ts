import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { FramedSocket } from "./framed_socket.ts";
import { handshake } from "./handshake.ts";
import { PeerPool, PeerServer } from "./mod.ts";

const HOST = "127.0.0.1";
const PORT = 26012;
const ADDRESS = `${HOST}:${PORT}`;
const SLOW_READERS = 20;
const REQUESTS_PER_READER = 60;
const REQUEST_INTERVAL_MS = 20;
const REPLY_BYTES = 1024 * 1024;
/** Replies that the kernel's buffers of one connection may take. */
const KERNEL_REPLIES = 12;

const large = "x".repeat(REPLY_BYTES);
let largeReplies = 0;
const server = new PeerServer({
  address: ADDRESS,
  secret: "",
  onProblem: () => {},
});
server.serve({
  large: () => {
    largeReplies += 1;
    return large;
  },
  echo: (parameters) => parameters,
});

beforeAll(() => server.listen());
afterAll(() => server.close());

type SlowReader = { readonly socket: Socket; readonly framed: FramedSocket };

/** Connects a peer that sends requests and reads no replies. */
async function connectSlowReader(): Promise<SlowReader> {
  const socket = connect(PORT, HOST);
  const clientNonce = "c";
  const framed = await new Promise<FramedSocket>((resolve) => {
    let serverNonce = "";
    const framed = new FramedSocket(socket, {
      onMessage: (message) => {
        if (serverNonce !== "") {
          socket.pause();
          void sendRequests(framed);
          resolve(framed);
          return;
        }
        serverNonce = String((message as { nonce: string }).nonce);
        const nonces = { clientNonce, serverNonce };
        const proof = handshake.prove("", { side: "client", ...nonces });
        framed.send({ nonce: clientNonce, proof });
      },
      onClose: () => {},
    });
  });
  return { socket, framed };
}

async function sendRequests(framed: FramedSocket): Promise<void> {
  for (let id = 1; id <= REQUESTS_PER_READER; id += 1) {
    await pause(REQUEST_INTERVAL_MS);
    framed.send({ jsonrpc: "2.0", id, method: "large", params: {} });
  }
}

// Load: peers that request large replies again and again and read none.
test("peers that read no replies take bounded memory, and others are served", async () => {
  const before = process.memoryUsage().rss;
  const readers = await Promise.all(
    Array.from({ length: SLOW_READERS }, connectSlowReader),
  );
  await pause(REQUESTS_PER_READER * REQUEST_INTERVAL_MS + 500);
  const perReader = largeReplies / SLOW_READERS;
  expect(perReader).toBeGreaterThan(0);
  expect(perReader).toBeLessThan(KERNEL_REPLIES + 2);
  expect(process.memoryUsage().rss - before).toBeLessThan(
    SLOW_READERS * 4 * REPLY_BYTES + 100 * 1024 * 1024,
  );
  const pool = new PeerPool({ secret: "", connectTimeout: 500, localHost: "" });
  const reply = await pool.call(ADDRESS, "echo", {
    parameters: { n: 1 },
    timeout: 1000,
  });
  expect(reply).toEqual({ n: 1 });
  pool.close();
  // A peer that reads again is still connected, as its queue stayed short.
  readers.forEach(({ socket }) => socket.resume());
  await pause(1000);
  expect(readers.filter(({ framed }) => !framed.isOpen)).toEqual([]);
  readers.forEach(({ socket }) => socket.destroy());
});

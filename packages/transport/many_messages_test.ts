import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { connectProvedPeer } from "./connect_proved_peer.ts";
import { frameCodec } from "./frame_codec.ts";
import { FramedSocket } from "./framed_socket.ts";
import { PeerPool, PeerServer } from "./mod.ts";

const HOST = "127.0.0.1";
const PORT = 26036;
const ADDRESS = `${HOST}:${PORT}`;
const MESSAGES = 5000;
const MAX_PER_TURN = 100;
/** More than are handled in a turn, in one read. */
const NOTICES = 300;

/** A socket that emits nothing while it is paused. */
class PausableSocket extends EventEmitter {
  isPaused = false;
  setNoDelay(): void {}
  destroy(): void {}
  pause(): void {
    this.isPaused = true;
  }
  resume(): void {
    this.isPaused = false;
  }
}

// Guards against a connection that holds up all others with tiny messages.
test("thousands of messages in one read are handled in several turns", async () => {
  const socket = new PausableSocket();
  const received: unknown[] = [];
  new FramedSocket(socket as unknown as Socket, {
    onMessage: (message) => received.push(message),
    onClose: () => {},
  });
  const sent = Array.from({ length: MESSAGES }, (_, index) => index);
  const frames = sent.map((each) => frameCodec.encode(Buffer.from(`${each}`)));
  socket.emit("data", Buffer.concat(frames));
  let before = 0;
  let turns = 0;
  while (received.length < MESSAGES && turns < MESSAGES) {
    expect(received.length - before).toBeLessThanOrEqual(MAX_PER_TURN);
    expect(socket.isPaused).toBe(true);
    before = received.length;
    turns += 1;
    await new Promise((resolve) => setImmediate(resolve));
  }
  expect(turns).toBeGreaterThan(0);
  expect(received).toEqual(sent);
  expect(socket.isPaused).toBe(false);
});

test("a closed connection handles none of the messages that wait", async () => {
  const socket = new PausableSocket();
  let handled = 0;
  const framed = new FramedSocket(socket as unknown as Socket, {
    onMessage: () => handled += 1,
    onClose: () => {},
  });
  const frame = frameCodec.encode(Buffer.from("1"));
  socket.emit("data", Buffer.concat(Array(MESSAGES).fill(frame)));
  framed.close("the test says so");
  const before = handled;
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(handled).toBe(before);
});

test("many notices and calls at once all arrive in order", async () => {
  const received: number[] = [];
  const server = new PeerServer({
    address: ADDRESS,
    secret: "",
    onProblem: () => {},
  });
  server.serve({
    note: (parameters) => void received.push((parameters as { n: number }).n),
    echo: (parameters) => parameters,
  });
  await server.listen();
  const pool = new PeerPool({ secret: "", connectTimeout: 500, localHost: "" });
  const sent = Array.from({ length: MESSAGES }, (_, index) => index);
  for (const n of sent) {
    pool.notify(ADDRESS, "note", { n });
  }
  const options = { parameters: { n: 1 }, timeout: 5000 };
  expect(await pool.call(ADDRESS, "echo", options)).toEqual({ n: 1 });
  expect(received).toEqual(sent);
  pool.close();
  await server.close();
});

// Guards against any number of calls in one message.
test("a batch of calls closes its connection and runs none", async () => {
  let calls = 0;
  const server = new PeerServer({
    address: ADDRESS,
    secret: "",
    onProblem: () => {},
  });
  server.serve({ count: () => calls += 1 });
  await server.listen();
  const { socket, framed } = await connectProvedPeer(PORT, HOST);
  const call = { jsonrpc: "2.0", id: 1, method: "count", params: {} };
  const hasClosed = new Promise((resolve) => socket.once("close", resolve));
  framed.send(Array(MESSAGES).fill(call));
  await hasClosed;
  expect(calls).toBe(0);
  await server.close();
});

// Guards against notices that are lost as their sender closes the connection.
test("what a peer sent before it closed the connection is handled", async () => {
  const received: number[] = [];
  const server = new PeerServer({
    address: ADDRESS,
    secret: "",
    onProblem: () => {},
  });
  server.serve({
    note: (parameters) => void received.push((parameters as { n: number }).n),
  });
  await server.listen();
  const { socket, framed } = await connectProvedPeer(PORT, HOST);
  const sent = Array.from({ length: NOTICES }, (_, index) => index);
  socket.cork();
  for (const n of sent) {
    framed.send({ jsonrpc: "2.0", method: "note", params: { n } });
  }
  socket.uncork();
  socket.end();
  await new Promise((resolve) => socket.once("close", resolve));
  await new Promise((resolve) => setTimeout(resolve, 100));
  expect(received).toEqual(sent);
  await server.close();
});

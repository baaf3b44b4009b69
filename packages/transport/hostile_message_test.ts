import { connect, createServer } from "node:net";
import { frameCodec } from "./frame_codec.ts";
import { handshake } from "./handshake.ts";
import { PeerPool, PeerServer } from "./mod.ts";

const HOST = "127.0.0.1";
const SERVER_PORT = 26020;
const CLIENT_PORT = 26021;
const HOSTILE_MESSAGES: readonly unknown[] = [
  null,
  5,
  [],
  [null],
  { proof: { toString: 1, valueOf: 1 } },
  { nonce: { toString: 1, valueOf: 1 } },
  { nonce: [[[]]], proof: [[{ toString: null }]] },
];
const server = new PeerServer({
  address: `${HOST}:${SERVER_PORT}`,
  secret: "",
  onProblem: () => {},
});
server.serve({ echo: (parameters) => parameters });

const uncaught: unknown[] = [];
const record = (error: unknown) => void uncaught.push(error);

beforeAll(async () => {
  process.on("uncaughtException", record);
  await server.listen();
});
afterAll(async () => {
  process.off("uncaughtException", record);
  await server.close();
});
beforeEach(() => uncaught.splice(0));

// Guards against a process that a message without the shared secret ends.
test.each(HOSTILE_MESSAGES.map((message) => [JSON.stringify(message)]))(
  "a server survives %s in place of the handshake",
  async (text) => {
    await new Promise<void>((resolve) => {
      const socket = connect(SERVER_PORT, HOST);
      socket.once(
        "data",
        () => socket.end(frameCodec.encode(Buffer.from(text))),
      );
      socket.once("error", () => {});
      socket.once("close", () => resolve());
    });
    expect(uncaught).toEqual([]);
    expect(await call(SERVER_PORT)).toEqual({ still: "here" });
  },
);

// Guards against a process that a message of the peer it called ends.
test.each(HOSTILE_MESSAGES.map((message) => [JSON.stringify(message)]))(
  "a client survives %s in place of a reply",
  async (text) => {
    const peer = createServer((socket) => {
      const serverNonce = "n";
      socket.write(frameCodec.encode(Buffer.from(`{"nonce":"n"}`)));
      socket.once("error", () => {});
      socket.once("data", (bytes) => {
        const decoded = frameCodec.decode(bytes, 1000);
        const [hello] = decoded.kind === "frames" ? decoded.payloads : [];
        const { nonce: clientNonce } = JSON.parse(String(hello));
        const nonces = { clientNonce, serverNonce };
        const proof = handshake.prove("", { side: "server", ...nonces });
        socket.write(frameCodec.encode(Buffer.from(JSON.stringify({ proof }))));
        socket.write(frameCodec.encode(Buffer.from(text)));
      });
    });
    await new Promise<void>((resolve) =>
      peer.listen(CLIENT_PORT, HOST, resolve)
    );
    await expect(call(CLIENT_PORT)).rejects.toThrow();
    expect(uncaught).toEqual([]);
    await new Promise((resolve) => peer.close(resolve));
  },
);

// Guards against a notice to an address that can't be connected to.
test("a notice to a port out of range is dropped with a problem", () => {
  const problems: string[] = [];
  const pool = new PeerPool({
    secret: "",
    connectTimeout: 500,
    localHost: "",
    onProblem: (message) => problems.push(message),
  });
  pool.notify(`${HOST}:70000`, "echo", {});
  expect(problems).toHaveLength(1);
  pool.close();
});

async function call(port: number): Promise<unknown> {
  const pool = new PeerPool({ secret: "", connectTimeout: 500, localHost: "" });
  try {
    return await pool.call(`${HOST}:${port}`, "echo", {
      parameters: { still: "here" },
      timeout: 300,
    });
  } finally {
    pool.close();
  }
}

import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { connectProvedPeer } from "./connect_proved_peer.ts";
import { PeerPool, PeerServer } from "./mod.ts";

const HOST = "127.0.0.1";
const PORT = 26034;
const ADDRESS = `${HOST}:${PORT}`;
const MIB = 1024 * 1024;
const MAX_UNFINISHED_BYTES = 8 * MIB;
const CONNECTIONS = 20;

const causes: string[] = [];
const server = new PeerServer({
  address: ADDRESS,
  secret: "",
  maxUnfinishedBytes: MAX_UNFINISHED_BYTES,
  onProblem: () => {},
  onRefusal: ({ cause }) => causes.push(cause),
});
server.serve({ echo: (parameters) => parameters });
const sockets: Socket[] = [];

beforeAll(() => server.listen());
afterAll(async () => {
  sockets.forEach((socket) => socket.destroy());
  await server.close();
});

/** Proves the secret and sends 1 MiB of a message of 15 MiB. */
async function sendUnfinished(): Promise<Socket> {
  const { socket } = await connectProvedPeer(PORT, HOST);
  sockets.push(socket);
  const header = Buffer.alloc(8);
  header.writeUInt32BE(15 * MIB);
  socket.write(header);
  socket.write(Buffer.alloc(MIB));
  await pause(20);
  return socket;
}

// Guards against memory filled by unfinished messages of many connections.
test("unfinished messages take bounded memory together", async () => {
  for (let index = 0; index < CONNECTIONS; index += 1) {
    await sendUnfinished();
  }
  await pause(100);
  const open = sockets.map(({ closed }) => !closed);
  const openCount = open.filter(Boolean).length;
  expect(openCount).toBeGreaterThan(0);
  expect(openCount).toBeLessThanOrEqual(MAX_UNFINISHED_BYTES / MIB);
  expect(open.lastIndexOf(false)).toBeLessThan(open.indexOf(true));
  expect(causes).toEqual(
    Array.from({ length: CONNECTIONS - openCount }, () => "unfinished"),
  );
});

test("a message of 6 MiB passes beside those that have stalled", async () => {
  const pool = new PeerPool({ secret: "", connectTimeout: 500, localHost: "" });
  const parameters = { text: "x".repeat(6 * MIB) };
  expect(await pool.call(ADDRESS, "echo", { parameters, timeout: 5000 }))
    .toEqual(parameters);
  pool.close();
});

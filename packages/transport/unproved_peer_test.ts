import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { PeerPool, PeerServer } from "./mod.ts";

const HOST = "127.0.0.1";
const PORT = 26030;
const ADDRESS = `${HOST}:${PORT}`;
const KIB = 1024;
const LARGE_MESSAGE = { text: "x".repeat(15 * KIB * KIB) };
const problems: string[] = [];
const refusals: { cause: string; reason: string }[] = [];
const server = new PeerServer({
  address: ADDRESS,
  secret: "a shared secret of the system",
  onProblem: (message) => problems.push(message),
  onRefusal: (refusal) => refusals.push(refusal),
});
server.serve({ echo: (parameters) => parameters });

beforeAll(() => server.listen());
afterAll(() => server.close());
beforeEach(() => refusals.splice(0));

/** Sends an unfinished frame; resolves to the bytes that were taken. */
async function sendFrame(frameBytes: number): Promise<number> {
  const socket = connect(PORT, HOST);
  socket.on("error", () => {});
  const header = Buffer.alloc(8);
  header.writeUInt32BE(frameBytes);
  socket.write(header);
  let sent = 0;
  for (; sent < frameBytes && !socket.destroyed; sent += KIB) {
    socket.write(Buffer.alloc(KIB));
    await pause(1);
  }
  socket.destroy();
  return sent;
}

// Guards against memory filled by peers that haven't proved the secret.
test("a large frame before the proof closes the connection at once", async () => {
  expect(await sendFrame(200 * KIB)).toBeLessThan(100 * KIB);
  expect(refusals).toMatchObject([
    {
      cause: "handshake",
      reason: expect.stringContaining("oversized"),
    },
  ]);
});

test("messages of 15 MiB pass once the secret is proved", async () => {
  const pool = new PeerPool({
    secret: "a shared secret of the system",
    connectTimeout: 500,
    localHost: "",
  });
  const options = { parameters: LARGE_MESSAGE, timeout: 5000 };
  expect(await pool.call(ADDRESS, "echo", options)).toEqual(LARGE_MESSAGE);
  pool.close();
});

// Guards against a line for each connection of a peer with another secret.
test("peers with another secret are all counted, few are reported", async () => {
  for (let index = 0; index < 30; index += 1) {
    const pool = new PeerPool({
      secret: "other",
      connectTimeout: 500,
      localHost: "",
    });
    const options = { parameters: {}, timeout: 500 };
    await expect(pool.call(ADDRESS, "echo", options)).rejects.toThrow();
    pool.close();
  }
  expect(refusals).toHaveLength(30);
  expect(problems.length).toBeGreaterThan(0);
  expect(problems.length).toBeLessThan(15);
});

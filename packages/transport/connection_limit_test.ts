import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { PeerPool, PeerServer } from "./mod.ts";

const HOST = "127.0.0.1";
const PORT = 26032;
const ADDRESS = `${HOST}:${PORT}`;
const MAX_CONNECTIONS = 40;
const PEERS = 400;
const OPTIONS = { parameters: { n: 1 }, timeout: 5000 };

/** What each test leaves open, to be closed behind it. */
const servers: PeerServer[] = [];
const pools: PeerPool[] = [];
const sockets: Socket[] = [];

afterEach(async () => {
  pools.splice(0).forEach((pool) => pool.close());
  sockets.splice(0).forEach((socket) => socket.destroy());
  await Promise.all(servers.splice(0).map((server) => server.close()));
});

async function startServer(
  options: { maxConnections?: () => number } = {},
): Promise<{ causes: string[] }> {
  const causes: string[] = [];
  const server = new PeerServer({
    address: ADDRESS,
    secret: "",
    onProblem: () => {},
    onRefusal: ({ cause }) => causes.push(cause),
    ...options,
  });
  servers.push(server);
  server.serve({ echo: (parameters) => parameters });
  await server.listen();
  return { causes };
}

function createPool(ends: string[] = []): PeerPool {
  const pool = new PeerPool({
    secret: "",
    connectTimeout: 3000,
    localHost: "",
    onDisconnect: ({ reason }) => ends.push(reason),
  });
  pools.push(pool);
  return pool;
}

/** Opens connections that send nothing. */
async function openIdle(count: number): Promise<Socket[]> {
  const opened: Socket[] = [];
  for (let index = 0; index < count; index += 1) {
    const socket = connect(PORT, HOST);
    socket.on("error", () => {});
    socket.resume();
    sockets.push(socket);
    opened.push(socket);
    await new Promise((resolve) => socket.once("connect", resolve));
  }
  await pause(100);
  return opened;
}

// Guards against descriptors taken by peers that don't prove the secret.
test("the oldest connections without a proof make room", async () => {
  const { causes } = await startServer({
    maxConnections: () => MAX_CONNECTIONS,
  });
  const idle = await openIdle(3 * MAX_CONNECTIONS);
  const open = idle.map(({ closed }) => !closed);
  const openCount = open.filter(Boolean).length;
  expect(openCount).toBeLessThanOrEqual(MAX_CONNECTIONS);
  expect(open.lastIndexOf(false)).toBeLessThan(open.indexOf(true));
  expect(causes).toEqual(
    Array.from({ length: idle.length - openCount }, () => "connections"),
  );
  const pool = createPool();
  expect(await pool.call(ADDRESS, "echo", OPTIONS)).toEqual({ n: 1 });
});

// Guards against connections of sound peers that strangers push out.
test("connections with a proof stay open beside many without", async () => {
  await startServer({
    maxConnections: () => MAX_CONNECTIONS,
  });
  const ends: string[] = [];
  const pool = createPool(ends);
  await pool.call(ADDRESS, "echo", OPTIONS);
  await openIdle(3 * MAX_CONNECTIONS);
  expect(await pool.call(ADDRESS, "echo", OPTIONS)).toEqual({ n: 1 });
  expect(ends).toEqual([]);
});

// Guards against places that peers which are gone without a close keep for ever.
test("a connection that has been silent for long makes room", async () => {
  await startServer({ maxConnections: () => 2 });
  const peers = [createPool(), createPool(), createPool()] as const;
  const call = (pool: PeerPool) => pool.call(ADDRESS, "echo", OPTIONS);
  await call(peers[0]);
  await call(peers[1]);
  await expect(call(peers[2])).rejects.toThrow();
  const now = jest.spyOn(performance, "now");
  const startedAt = performance.now();
  now.mockImplementation(() => startedAt + 11_000);
  await call(peers[1]);
  expect(await call(peers[2])).toEqual({ n: 1 });
  now.mockRestore();
});

test(`${PEERS} peers that connect at once are all served`, async () => {
  const { causes } = await startServer();
  const peers = Array.from({ length: PEERS }, () => createPool());
  const replies = await Promise.all(
    peers.map((peer) => peer.call(ADDRESS, "echo", OPTIONS)),
  );
  expect(replies).toEqual(peers.map(() => ({ n: 1 })));
  expect(causes).toEqual([]);
});

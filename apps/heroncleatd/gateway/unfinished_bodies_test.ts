import { connect, type Socket } from "node:net";
import { waitUntil } from "../hub/wait_until.ts";
import type { RunningGateway } from "./running_gateway.ts";
import { testGateway } from "./test_gateway.ts";
import { testHeaderNames as names } from "./test_header_names.ts";
import { TestUpstream } from "./test_upstream.ts";

const HOST = "127.0.9.81";
const ADDRESS = `${HOST}:25531`;
const RELAY_ADDRESS = `${HOST}:25533`;
const CONTROL = "hub:1";
const MAX_CONNECTIONS = 2;
const TIMEOUT_MS = 20_000;

const counts = new Map<string, number>();
let upstream: TestUpstream;
let gateway: RunningGateway;

beforeEach(async () => {
  counts.clear();
  upstream = await TestUpstream.start(({ message }, socket) =>
    void socket.write(
      `HTTP/1.1 200 OK\r\n${names.attempt}: ` +
        `${message.headers[names.attempt]}\r\n${names.digest}: d\r\n` +
        "Content-Length: 2\r\n\r\nok",
    )
  );
  gateway = await testGateway.start({
    address: ADDRESS,
    noticeAddress: `${HOST}:25532`,
    relayAddress: RELAY_ADDRESS,
    gracePeriod: 200,
    control: CONTROL,
    pool: testGateway.createPool(testGateway.createReply({
      address: ADDRESS,
      control: CONTROL,
      upstreams: [testGateway.createRecord({ address: upstream.address })],
      document: testGateway.createDocument([
        testGateway.createRoute({ timeout: TIMEOUT_MS }),
      ]),
    })),
    limits: {
      connections: { callers: MAX_CONNECTIONS, relays: MAX_CONNECTIONS },
    },
    metrics: {
      increment: (name) => void counts.set(name, (counts.get(name) ?? 0) + 1),
      gauge() {},
      timing() {},
      close() {},
    },
  });
  await waitUntil(() => gateway.isReady());
});

afterEach(async () => {
  await gateway.stop();
  upstream.close();
});

type Caller = {
  readonly socket: Socket;
  readonly received: () => string;
  readonly isClosed: () => boolean;
};

/** Sends all of a request but the last byte of its body. */
async function begin(address: string, attempt: string): Promise<Caller> {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  let received = "";
  let isClosed = false;
  socket.on("data", (bytes) => received += bytes);
  socket.on("error", () => {});
  socket.on("close", () => isClosed = true);
  socket.write(
    `POST / HTTP/1.1\r\nHost: inn.example\r\n${names.attempt}: ${attempt}\r\n` +
      "Content-Length: 2\r\n\r\nx",
  );
  await waitUntil(() => isClosed || gateway.listInFlight().includes(attempt));
  return { socket, received: () => received, isClosed: () => isClosed };
}

// Guards against unfinished bodies that keep others out until their timeouts.
test.each([
  ["callers", ADDRESS, "200"],
  // Whose requests have no grant here.
  ["relays", RELAY_ADDRESS, "503"],
])(
  "at the limit of connections of %s the oldest unfinished body makes room",
  async (name, address, status) => {
    const oldest = await begin(address, "a1");
    const older = await begin(address, "a2");
    const newest = await begin(address, "a3");
    await waitUntil(() => oldest.isClosed() || newest.isClosed());
    expect(oldest.received()).toMatch(
      /^HTTP\/1\.1 408 [^]*the request has not run/,
    );
    for (const caller of [older, newest]) {
      caller.socket.write("x");
      await waitUntil(() => caller.received() !== "" || caller.isClosed());
      expect(caller.received().slice(9, 12)).toBe(status);
      caller.socket.destroy();
    }
    expect(counts.get(`connections.closed_body.${name}`)).toBe(1);
    expect(counts.get(`connections.refused.${name}`)).toBeUndefined();
  },
);

// Guards against refused bodies that take connections beyond the limit.
test.each([
  ["callers", ADDRESS],
  ["relays", RELAY_ADDRESS],
])(
  "unfinished bodies at %s that are given up keep no connections",
  async (_, address) => {
    const callers: Caller[] = [];
    for (let count = 1; count <= 4 * MAX_CONNECTIONS; count += 1) {
      callers.push(await begin(address, `a${count}`));
      const givenUp = callers.slice(0, -MAX_CONNECTIONS);
      await waitUntil(() => givenUp.every(({ received }) => received() !== ""));
    }
    await waitUntil(() => callers[0]!.isClosed());
    const open = callers.filter(({ isClosed }) => !isClosed());
    expect(open.length).toBeLessThanOrEqual(MAX_CONNECTIONS + 2);
    for (const { socket, received, isClosed } of callers) {
      expect(received() === "" && isClosed()).toBe(false);
      socket.destroy();
    }
  },
);

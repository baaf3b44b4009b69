import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { limitConnections } from "./limit_connections.ts";
import { paceReads } from "./pace_reads.ts";

const KIB = 1024;
const FLOOD_CONNECTIONS = 60;
/** 50,000 chunks. */
const FLOOD =
  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
  "1\r\nx\r\n".repeat(50 * KIB);
/** More than what is parsed as it is read. */
const WAITING_BYTES = 2000;

let server: Server;
let accepted: Socket[];
let counts: Record<string, number>;
const opened: Socket[] = [];

beforeEach(async () => {
  accepted = [];
  counts = {};
  server = createServer((incoming, response) => {
    incoming.resume();
    incoming.once("end", () => response.end("served"));
  });
  paceReads(server);
  limitConnections(server, {
    limit: () => FLOOD_CONNECTIONS + 1,
    metrics: {
      increment: (name, by = 1) => counts[name] = (counts[name] ?? 0) + by,
    },
    log: { warn() {} },
    name: "callers",
  });
  server.on("connection", (socket) => accepted.push(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
  opened.splice(0).forEach((socket) => socket.destroy());
  server.close();
  server.closeAllConnections();
});

function open(): Socket {
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1").on("error", () => {});
  opened.push(socket);
  return socket;
}

// Guards against a request that is read and then reset, as if it were none.
test("a connection whose request waits to be parsed makes no room", async () => {
  const caller = open();
  let received = "";
  caller.on("data", (bytes) => received += bytes);
  caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  await once(caller, "data");
  const bytesBefore = accepted[0]!.bytesRead;
  for (let count = 0; count < FLOOD_CONNECTIONS; count += 1) {
    open().write(FLOOD);
  }
  const isFlooded = () =>
    accepted.length > FLOOD_CONNECTIONS &&
    accepted.slice(1).every(({ bytesRead }) => bytesRead > WAITING_BYTES);
  while (!isFlooded()) {
    await nextTurn();
  }
  caller.write(
    `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${WAITING_BYTES}\r\n\r\n` +
      "b".repeat(WAITING_BYTES),
  );
  while (accepted[0]!.bytesRead === bytesBefore) {
    await nextTurn();
  }
  open();
  await Promise.race([once(caller, "close"), once(caller, "data")]);
  expect(received.split("served")).toHaveLength(3);
  expect(counts).toEqual({ "connections.refused.callers": 1 });
});

test("a connection without bytes that wait makes room", async () => {
  const caller = open();
  caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  await once(caller, "data");
  const hasClosed = once(caller, "close");
  for (let count = 0; count <= FLOOD_CONNECTIONS; count += 1) {
    open();
  }
  await hasClosed;
  expect(counts).toEqual({ "connections.closed_idle.callers": 1 });
});

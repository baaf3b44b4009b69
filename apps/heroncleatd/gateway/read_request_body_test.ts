import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { createSystemClock } from "@heroncleat/base";
import { ByteBudget } from "../common/byte_budget.ts";
import { UnfinishedBodies } from "../common/unfinished_bodies.ts";
import { readRequestBody } from "./read_request_body.ts";

const clock = createSystemClock();
const HEAD = "POST / HTTP/1.1\r\nHost: a\r\n";
let server: Server;
let kinds: string[];

beforeEach(async () => {
  kinds = [];
  server = createServer(async (incoming, response) => {
    const body = await readRequestBody(incoming, {
      limit: 1000,
      chunkLimit: { base: 3, bytesPerChunk: 10 },
      budget: new ByteBudget({ limit: 1000, largeBytes: 1000, clock }),
      deadline: clock.steady() + 5000,
      clock,
      inFlight: { onGiveUp: () => () => {} },
      unfinished: new UnfinishedBodies(),
    });
    kinds.push(body.kind);
    response.shouldKeepAlive = false;
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
  server.close();
  server.closeAllConnections();
});

// Guards against a limit of chunks that settings can't change.
test("a body may have the chunks that the limit allows for its size", async () => {
  await send(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, "1\r\nx\r\n", 3);
  await send(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, "1\r\nx\r\n", 4);
  await send(
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    "a\r\n0123456789\r\n",
    90,
  );
  await send(`${HEAD}Content-Length: 5\r\n\r\n`, "x", 5);
  expect(kinds).toEqual(["complete", "fragmented", "complete", "complete"]);
});

/** Sends a head, then a piece some times, and the end of chunks if it has any. */
function send(head: string, piece: string, count: number): Promise<void> {
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  const end = head.includes("chunked") ? "0\r\n\r\n" : "";
  socket.write(head + piece.repeat(count) + end);
  socket.resume();
  return new Promise((resolve) => {
    socket.once("close", () => resolve());
    socket.once("error", () => {});
  });
}

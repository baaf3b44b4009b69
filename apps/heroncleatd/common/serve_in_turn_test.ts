import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { createSystemClock } from "@heroncleat/base";
import { serveInTurn } from "./serve_in_turn.ts";

const REQUEST_INTERVAL_MS = 50;
/** Until a response; the next request has arrived by then. */
const RUN_TIME_MS = 150;
/** Longer than a request that is handled by mistake takes to begin. */
const SETTLE_MS = 100;

const clock = createSystemClock();
let server: Server;
let caller: Socket;
let received = "";
let handled: string[] = [];

beforeEach(() => {
  received = "";
  handled = [];
});

afterEach(() => {
  caller.destroy();
  server.close();
  server.closeAllConnections();
});

async function start(onRequest: RequestListener): Promise<void> {
  server = createServer(onRequest);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  caller = connect(port, "127.0.0.1");
  caller.on("data", (bytes) => received += bytes);
  caller.on("error", () => {});
}

/** Sends two requests; resolves once the connection is closed. */
async function sendTwo(): Promise<void> {
  const isClosed = once(caller, "close");
  caller.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
  await pause(REQUEST_INTERVAL_MS);
  caller.write("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
  await isClosed;
}

// Guards against requests that run although nobody can get their responses.
test("requests behind a response that ends its connection aren't handled", async () => {
  await start(serveInTurn((incoming, response) => {
    handled.push(incoming.url!);
    response.shouldKeepAlive = false;
    setTimeout(() => response.end("done"), RUN_TIME_MS);
  }, { clock }));
  await sendTwo();
  await pause(SETTLE_MS);
  expect(handled).toEqual(["/first"]);
});

// Guards against requests that get no answer, as they arrive behind one that was
// the last of its connection when it began.
test("a connection that is to close does so behind a request that arrives before the last response", async () => {
  await start(serveInTurn((incoming, response) => {
    handled.push(incoming.url!);
    setTimeout(() => response.end("done"), RUN_TIME_MS);
  }, { clock, isClosing: () => true }));
  await sendTwo();
  expect(handled).toEqual(["/first", "/second"]);
  expect(received.match(/Connection: [\w-]+/g)).toEqual([
    "Connection: keep-alive",
    "Connection: close",
  ]);
});

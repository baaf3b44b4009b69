import { once } from "node:events";
import type { Server, ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { createCallerServer } from "./create_caller_server.ts";

const REQUEST = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
/** Incomplete, as of a caller that pipelines its requests. */
const PARTIAL_REQUEST = "GET / HTTP/1.1\r\nho";
const MAX_CLOSE_TIME_MS = 2000;

let server: Server;
let caller: Socket;
let received = "";
/** The connection of the caller at the server. */
let accepted: Socket;
let begun: ServerResponse[] = [];

beforeEach(async () => {
  received = "";
  begun = [];
  server = createCallerServer((incoming, response) => {
    begun.push(response);
    incoming.resume();
  });
  server.on("connection", (socket) => accepted = socket);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  caller = connect(port, "127.0.0.1");
  caller.on("data", (chunk) => received += chunk);
  caller.on("error", () => {});
});

afterEach(() => {
  caller.destroy();
  server.close();
  server.closeAllConnections();
});

async function beginResponse(): Promise<ServerResponse> {
  caller.write(REQUEST);
  while (begun.length === 0) {
    await pause(5);
  }
  return begun[0]!;
}

// Guards against a response that is cut, and has the bytes of another one in it,
// because of what the caller sent behind its request.
test.each([
  ["bytes that are no request", () => void caller.write("!\r\n\r\n")],
  ["a partial request that times out", () => {
    caller.write(PARTIAL_REQUEST);
    const error = Object.assign(new Error("Request timeout"), {
      code: "ERR_HTTP_REQUEST_TIMEOUT",
    });
    // Node checks each 30 s.
    server.emit("clientError", error, accepted);
  }],
])("%s behind a request leave its response whole", async (_, disturb) => {
  const response = await beginResponse();
  response.writeHead(200, { "content-length": 10 });
  response.write("first");
  const isDisturbed = once(server, "clientError");
  disturb();
  await isDisturbed;
  response.end("later");
  await once(caller, "close");
  expect(received).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nfirstlater$/);
});

test("a caller that keeps its side open behind such bytes can't leave another request", async () => {
  caller.allowHalfOpen = true;
  const response = await beginResponse();
  response.writeHead(200, { "content-length": 5 });
  response.write("wh");
  const isDisturbed = once(server, "clientError");
  caller.write("!\r\n\r\n");
  await isDisturbed;
  const isClosed = once(accepted, "close");
  response.end("ole");
  await Promise.race([isClosed, pause(MAX_CLOSE_TIME_MS)]);
  expect(accepted.destroyed).toBe(true);
});

test("a request that runs isn't answered with 400 for what comes behind it", async () => {
  const response = await beginResponse();
  caller.write("!\r\n\r\n");
  await once(server, "clientError");
  response.end("whole");
  await once(caller, "close");
  expect(received).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nwhole$/);
});

test("bytes that are no request are answered with 400", async () => {
  caller.write("!\r\n\r\n");
  await once(caller, "close");
  expect(received).toMatch(/^HTTP\/1\.1 400 /);
});

test("a body that isn't readable is answered with 400", async () => {
  caller.write(
    "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n!\r\n",
  );
  await once(caller, "close");
  expect(received).toMatch(/^HTTP\/1\.1 400 /);
});

test("a caller that leaves behind a partial request ends its response", async () => {
  const response = await beginResponse();
  const hasEnded = once(response, "close");
  caller.end(PARTIAL_REQUEST);
  await hasEnded;
  expect(response.writableFinished).toBe(false);
});

import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { answerClientErrors } from "./answer_client_errors.ts";
import { paceReads } from "./pace_reads.ts";

const HANDLING_TIME_MS = 200;

let server: Server;

afterEach(() => {
  server.close();
  server.closeAllConnections();
});

// Guards against requests that run and whose responses are dropped.
test("all requests before bytes that are no request get their responses", async () => {
  server = createServer(respondLater);
  const requests = Array.from({ length: 3 }, (_, index) => head(index));
  const received = await send(`${requests.join("")}no request\r\n\r\n`);
  expect(received.match(/served \d/g)).toEqual([
    "served 0",
    "served 1",
    "served 2",
  ]);
});

// Guards against a caller that is said to be late with what waits to be parsed.
test("pipelined requests whose heads wait to be parsed all get their responses", async () => {
  server = createServer({
    headersTimeout: HANDLING_TIME_MS / 2,
    requestTimeout: 0,
    connectionsCheckingInterval: HANDLING_TIME_MS / 10,
  }, respondLater);
  paceReads(server);
  const padding = `Padding: ${"p".repeat(900)}`;
  const requests = Array.from(
    { length: 9 },
    (_, index) =>
      head(index, index < 8 ? padding : `${padding}\r\nConnection: close`),
  );
  const received = await send(requests.join(""));
  expect(received.match(/served \d/g)).toHaveLength(9);
});

test("a head that doesn't arrive in time is refused", async () => {
  server = createServer({
    headersTimeout: HANDLING_TIME_MS / 2,
    requestTimeout: 0,
    connectionsCheckingInterval: HANDLING_TIME_MS / 10,
  }, respondLater);
  paceReads(server);
  expect(await send(head(0).slice(0, -2))).toMatch(/^HTTP\/1.1 408 /);
});

const respondLater: RequestListener = (incoming, response) => {
  incoming.resume();
  setTimeout(
    () => response.end(`served ${incoming.url!.slice(1)}`),
    HANDLING_TIME_MS,
  );
};

function head(index: number, field = "Accept: */*"): string {
  return `GET /${index} HTTP/1.1\r\nHost: a\r\n${field}\r\n\r\n`;
}

/** Sends bytes at once; resolves to what came until the connection closed. */
async function send(text: string): Promise<string> {
  answerClientErrors(server, () => {});
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  let received = "";
  socket.on("data", (bytes) => received += bytes);
  socket.on("error", () => {});
  socket.write(text);
  await new Promise((resolve) => socket.once("close", resolve));
  return received;
}

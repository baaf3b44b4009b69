import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { answerClientErrors } from "./answer_client_errors.ts";

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

const respondLater: RequestListener = (incoming, response) => {
  incoming.resume();
  setTimeout(
    () => response.end(`served ${incoming.url!.slice(1)}`),
    HANDLING_TIME_MS,
  );
};

function head(index: number): string {
  return `GET /${index} HTTP/1.1\r\nHost: a\r\n\r\n`;
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

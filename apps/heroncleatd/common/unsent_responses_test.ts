import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { UnsentResponses } from "./unsent_responses.ts";

const REQUESTS = 3;

// Guards against responses that are kept for good, and hold up each stop.
test("responses of a caller that left before an earlier one are forgotten", async () => {
  const responses: ServerResponse[] = [];
  const server = createServer();
  const unsent = new UnsentResponses(server);
  const received = new Promise<void>((resolve) => {
    server.on("request", (_request, response) => {
      responses.push(response);
      if (responses.length === REQUESTS) {
        resolve();
      }
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const connection = once(server, "connection");
  const caller = connect(port, "127.0.0.1");
  caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(REQUESTS));
  const [socket] = await connection;
  await received;
  responses[1]!.end("behind the first");
  expect(unsent.exist).toBe(true);
  caller.destroy();
  await once(socket, "close");
  expect(unsent.exist).toBe(false);
  server.close();
});

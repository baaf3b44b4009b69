import { createServer, type Server } from "node:http";

/**
 * Starts a plain test service that sends the same response to every request.
 */
export async function startTestService(port: number): Promise<Server> {
  const server = createServer((message, response) => {
    response.writeHead(200, {
      "x-attempt": message.headers["x-attempt"],
      "x-digest": "d",
    });
    response.end("table 7");
  });
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.1", resolve)
  );
  return server;
}

import { createServer, type Server } from "node:http";

/** Starts a plain service for tests that answers all requests alike. */
export async function startTestDesk(port: number): Promise<Server> {
  const desk = createServer((message, response) => {
    response.writeHead(200, {
      "x-attempt": message.headers["x-attempt"],
      "x-digest": "d",
    });
    response.end("table 7");
  });
  await new Promise<void>((done) => desk.listen(port, "127.0.0.1", done));
  return desk;
}

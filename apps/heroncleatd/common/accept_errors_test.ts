import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { limitConnections } from "./limit_connections.ts";

const ERRORS = 20;
const servers: Server[] = [];

afterEach(() => servers.splice(0).forEach((server) => server.close()));

function createLimitedServer() {
  const lines: string[] = [];
  const counts = new Map<string, number>();
  const server = createServer((_, response) => response.end("served"));
  servers.push(server);
  limitConnections(server, {
    limit: () => 10,
    metrics: {
      increment: (name) => void counts.set(name, (counts.get(name) ?? 0) + 1),
    },
    log: {
      warn: (message, context = {}) =>
        void lines.push(`${message} ${context["error"]}`),
    },
    name: "callers",
  });
  return { server, lines, counts };
}

// Guards against a process that errors of accepting connections end.
test("errors of accepting connections are counted, and others are served", async () => {
  const { server, lines, counts } = createLimitedServer();
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  for (let error = 0; error < ERRORS; error += 1) {
    server.emit("error", new Error("accept EMFILE"));
  }
  expect(counts.get("connections.not_accepted.callers")).toBe(ERRORS);
  expect(lines[0]).toMatch(/^Can't accept a connection.* accept EMFILE$/);
  expect(lines.length).toBeLessThan(ERRORS);
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  let text = "";
  for await (const bytes of socket) {
    text += bytes;
  }
  expect(text).toMatch(/^HTTP\/1.1 200 [^]*served/);
});

// Guards against a start that goes on without the address that it needs.
test("an error of listening isn't taken for one of accepting", async () => {
  const first = createLimitedServer();
  await new Promise<void>((resolve) => {
    first.server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = first.server.address() as AddressInfo;
  const second = createLimitedServer();
  const error = await new Promise<NodeJS.ErrnoException>((resolve) => {
    second.server.once("error", resolve);
    second.server.listen(port, "127.0.0.1");
  });
  expect(error.code).toBe("EADDRINUSE");
  expect(second.counts.size).toBe(0);
});

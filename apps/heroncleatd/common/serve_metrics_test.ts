import { once } from "node:events";
import { get, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import type { Log } from "./log.ts";
import { serveMetrics } from "./serve_metrics.ts";

const HOST = "127.0.0.1";
const TEXT = "t".repeat(100_000);
const REQUEST = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
const MAX_CONNECTIONS = 20;
const counts: Record<string, number> = {};
const lines: string[] = [];
const record = (message: string) => void lines.push(message);
const log: Log = { debug: record, info: record, warn: record, error: record };

let renderings = 0;
let render: () => Promise<string> = () => Promise.resolve(TEXT);
let server: Server;
let port = 0;
const sockets: Socket[] = [];

beforeAll(async () => {
  server = serveMetrics(`${HOST}:0`, {
    render: () => {
      renderings += 1;
      return render();
    },
    log,
    metrics: {
      increment: (name, by = 1) => counts[name] = (counts[name] ?? 0) + by,
    },
    maxConnections: () => MAX_CONNECTIONS,
  });
  await once(server, "listening");
  port = (server.address() as AddressInfo).port;
});

afterEach(async () => {
  render = () => Promise.resolve(TEXT);
  sockets.splice(0).forEach((socket) => socket.destroy());
  await pause(50);
});

afterAll(() => {
  server.close();
  server.closeAllConnections();
});

function open(): Socket {
  const socket = connect(port, HOST);
  socket.on("error", () => {});
  sockets.push(socket);
  return socket;
}

async function fetchStatus(): Promise<number> {
  return await new Promise((resolve, reject) => {
    get({ host: HOST, port, path: "/metrics", agent: false }, (response) => {
      response.resume();
      response.once("end", () => resolve(response.statusCode!));
    }).once("error", reject);
  });
}

// Guards against a connection that sends a body for ever.
test("a request with a body is answered and its connection closed", async () => {
  const socket = open();
  let received = "";
  socket.on("data", (bytes) => received += bytes);
  socket.write(
    "GET /metrics HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
      "5\r\nhello\r\n",
  );
  await once(socket, "close");
  expect(received).toContain("200 OK");
  expect(received).toContain(TEXT);
  expect(counts["metrics_server.closed_body"]).toBe(1);
  expect(lines).toContain("Closes a connection of the metrics server");
});

// Guards against responses without end to requests that nobody waits for.
test("pipelined requests close their connection", async () => {
  renderings = 0;
  const socket = open();
  socket.resume();
  socket.write(REQUEST.repeat(1500));
  await Promise.race([once(socket, "close"), pause(2000)]);
  expect(socket.closed).toBe(true);
  expect(renderings).toBeLessThan(10);
  expect(counts["metrics_server.closed_pipelined"]).toBeGreaterThan(0);
});

test("requests one after the other use one connection", async () => {
  const socket = open();
  for (let index = 0; index < 3; index += 1) {
    let received = "";
    socket.on("data", (bytes) => received += bytes);
    socket.write(REQUEST);
    while (!received.includes(TEXT)) {
      await once(socket, "data");
    }
    socket.removeAllListeners("data");
    await pause(20);
  }
  expect(socket.closed).toBe(false);
});

// Guards against a rendering for each of many that ask at once.
test("all that ask while a text is rendered share it", async () => {
  renderings = 0;
  render = () => pause(100, TEXT);
  const statuses = await Promise.all(Array.from({ length: 10 }, fetchStatus));
  expect(statuses).toEqual(Array(10).fill(200));
  expect(renderings).toBe(1);
});

// Guards against a failed rendering that leaves its caller waiting.
test("a failed rendering is answered by 500 and logged", async () => {
  render = () => Promise.reject(new Error("no text"));
  expect(await fetchStatus()).toBe(500);
  expect(lines).toContain("Can't render metrics");
  render = () => Promise.resolve(TEXT);
  expect(await fetchStatus()).toBe(200);
});

// Guards against descriptors taken by idle connections.
test("idle connections beyond the limit make room", async () => {
  const idle = Array.from({ length: 3 * MAX_CONNECTIONS }, open);
  idle.forEach((socket) => socket.resume());
  await pause(300);
  const openCount = idle.filter(({ closed }) => !closed).length;
  expect(openCount).toBeLessThanOrEqual(MAX_CONNECTIONS);
  expect(await fetchStatus()).toBe(200);
  expect(counts["connections.closed_idle.metrics"]).toBeGreaterThan(0);
});

// Guards against warnings about collectors that keep their connections open.
test("a connection that is idle behind a response is closed without a line", async () => {
  server.keepAliveTimeout = 50;
  const before = counts["metrics_server.closed_timeout"] ?? 0;
  const socket = open();
  socket.resume();
  socket.write(REQUEST);
  await once(socket, "close");
  expect(counts["metrics_server.closed_timeout"] ?? 0).toBe(before);
});

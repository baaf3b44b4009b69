import { once } from "node:events";
import { get, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import type { Log } from "./log.ts";
import { serveMetrics } from "./serve_metrics.ts";

const HOST = "127.0.0.1";
const TEXT = "t".repeat(100_000);
const counts: Record<string, number> = {};
const lines: string[] = [];
const record = (message: string) => void lines.push(message);
const log: Log = { debug: record, info: record, warn: record, error: record };

let renderings = 0;
let render: () => Promise<string> = () => Promise.resolve(TEXT);
let server: Server;
let port = 0;

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
  });
  await once(server, "listening");
  port = (server.address() as AddressInfo).port;
});

afterEach(() => {
  render = () => Promise.resolve(TEXT);
});

afterAll(() => {
  server.close();
  server.closeAllConnections();
});

async function fetchStatus(): Promise<number> {
  return await new Promise((resolve, reject) => {
    get({ host: HOST, port, path: "/metrics", agent: false }, (response) => {
      response.resume();
      response.once("end", () => resolve(response.statusCode!));
    }).once("error", reject);
  });
}

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

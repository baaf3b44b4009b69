import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import type { Fault } from "@heroncleat/base";
import type { Result } from "true-myth/result";
import { BodyReader } from "./body_reader.ts";
import { ByteBudget } from "./byte_budget.ts";

const KIB = 1024;
const MAX_BYTES = 64 * KIB;
const MAX_CHUNKS = 100;
const LONG_TIMEOUT_MS = 60_000;
const SHORT_TIMEOUT_MS = 50;

type Body = Result<Buffer, Fault>;

let server: Server;
let caller: Socket;
let budget: ByteBudget;
let reader: BodyReader;
let counted: string[] = [];
let logged: object[] = [];

afterEach(() => {
  caller.destroy();
  server.close();
  server.closeAllConnections();
});

// Guards against bodies whose chunks take far more memory and time than bytes.
test("a body in chunks of one byte is refused with a remedy", async () => {
  const body = await read(chunked("x", MAX_CHUNKS * 3));
  expect(describe(body)).toEqual(["bad_request", "not-run"]);
  expect(body.isErr && body.error.message).toMatch(/Remedy: send larger/);
  expect(counted).toEqual(["bodies.refused.callers.chunks"]);
  expect(budget.held).toBe(0);
});

test("a body of the largest size in chunks of 100 bytes is read", async () => {
  const times = Math.floor(MAX_BYTES / 100);
  const body = await read(`${chunked("x".repeat(100), times)}0\r\n\r\n`);
  expect(body.isOk && body.value.length).toBe(100 * times);
  expect(budget.held).toBe(100 * times);
});

test("a body of a stated length isn't limited in the number of its parts", async () => {
  const whole = await read("Content-Length: 600\r\n\r\n", { parts: 600 });
  expect(whole.isOk && whole.value.length).toBe(600);
});

// Guards against unfinished bodies that are held for as long as callers like.
test("a body that isn't complete in time is refused", async () => {
  const start = chunked("x".repeat(100), 10);
  const body = await read(start, { timeout: SHORT_TIMEOUT_MS });
  expect(describe(body)).toEqual(["timeout", "not-run"]);
  expect(budget.held).toBe(0);
});

test("bodies of unstated length are held in the budget", async () => {
  const body = await read(chunked("x".repeat(KIB), 60), { limit: 30 * KIB });
  expect(describe(body)).toEqual(["overloaded", "not-run"]);
  expect(budget.held).toBe(0);
});

test("a body that is given up for another one is refused", async () => {
  const body = read(chunked("x".repeat(KIB), 10));
  while (budget === undefined || budget.held < 10 * KIB) {
    await new Promise(setImmediate);
  }
  expect(reader.giveUpOldest()).toBe(true);
  expect(describe(await body)).toEqual(["overloaded", "not-run"]);
  expect(reader.giveUpOldest()).toBe(false);
});

test("a refusal has a line with what decided it", async () => {
  await read(chunked("x", MAX_CHUNKS * 3));
  expect(logged).toEqual([{
    interface: "callers",
    reason: "chunks",
    bytes: expect.any(Number),
    chunks: expect.any(Number),
    held: 0,
    unloggedBefore: 0,
  }]);
});

function describe(body: Body): string[] {
  return body.isErr ? [body.error.kind, body.error.run] : ["read"];
}

/** Chunks without the last one, behind the header that announces them. */
function chunked(chunk: string, times: number): string {
  return "Transfer-Encoding: chunked\r\n\r\n" +
    `${chunk.length.toString(16)}\r\n${chunk}\r\n`.repeat(times);
}

/** Reads the body of one request. */
async function read(
  bytes: string,
  { timeout = LONG_TIMEOUT_MS, limit = 1024 * KIB, parts = 0 } = {},
): Promise<Body> {
  counted = [];
  logged = [];
  const clock = { steady: () => performance.now() };
  budget = new ByteBudget({ limit, largeBytes: limit, clock });
  reader = new BodyReader({
    name: "callers",
    budget,
    timeout,
    maxChunks: MAX_CHUNKS,
    clock,
    log: {
      debug() {},
      info: (_, fields = {}) => void logged.push(fields),
      warn() {},
      error() {},
    },
    metrics: { increment: (name) => void counted.push(name) },
  });
  return await new Promise((resolve, reject) => {
    server = createServer((request, response) => {
      reader.read(request, { response, maxBytes: MAX_BYTES })
        .then(resolve, reject);
    });
    server.listen(0, "127.0.9.54", () => {
      caller = connect((server.address() as AddressInfo).port, "127.0.9.54");
      caller.on("error", () => {});
      sendInParts(`POST / HTTP/1.1\r\nHost: h\r\n${bytes}`, parts)
        .catch(reject);
    });
  });
}

/** Sends bytes, and one byte at a time behind them. */
async function sendInParts(bytes: string, parts: number): Promise<void> {
  await once(caller, "connect");
  caller.setNoDelay(true);
  caller.write(bytes);
  for (let part = 0; part < parts; part += 1) {
    await new Promise(setImmediate);
    await new Promise((resolve) => caller.write("x", resolve));
  }
}

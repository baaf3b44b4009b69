import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { KeyRing } from "../common/key_ring.ts";
import { OperatorServer } from "./operator_server.ts";

const TOKEN = "t";
const HOST = "127.0.9.54";
const REQUESTS = 2000;
/** Those that arrive with the last one that is handled at once come on top. */
const MAX_IN_PROGRESS = 200;
const SETTLE_TIME_MS = 200;

// Guards against pipelined requests that are all handled at once.
test("pipelined requests wait until those before them have responses", async () => {
  const waiting: ((status: object) => void)[] = [];
  let isReady = false;
  const port = await findFreePort();
  const address = `${HOST}:${port}`;
  const server = new OperatorServer({
    settings: {
      operator_address: address,
      body_memory: 1024 * 1024,
      max_body_chunks: 4096,
      max_connections: 500,
    },
    address,
    operators: new KeyRing({ demo: TOKEN }),
    readStatus: () =>
      isReady
        ? Promise.resolve({})
        : new Promise((resolve) => waiting.push(resolve)),
    clock: { steady: () => performance.now() },
    log: { debug() {}, info() {}, warn() {}, error() {} },
    metrics: { increment() {} },
  } as never);
  await server.listen();
  const caller = connect(port, HOST);
  let responses = 0;
  caller.on("data", (bytes) => {
    responses += String(bytes).split("HTTP/1.1 200").length - 1;
  });
  caller.write(
    ("GET /v1/operator/status HTTP/1.1\r\nHost: control\r\n" +
      `Authorization: Bearer ${TOKEN}\r\n\r\n`).repeat(REQUESTS),
  );
  let seen = -1;
  while (waiting.length === 0 || waiting.length !== seen) {
    seen = waiting.length;
    await pause(SETTLE_TIME_MS);
  }
  expect(waiting.length).toBeLessThan(MAX_IN_PROGRESS);
  isReady = true;
  for (const respond of waiting) {
    respond({});
  }
  while (responses < REQUESTS) {
    await pause(1);
  }
  caller.destroy();
  server.close();
});

async function findFreePort(): Promise<number> {
  const probe = createServer().listen(0, HOST);
  await once(probe, "listening");
  const { port } = probe.address() as AddressInfo;
  probe.close();
  await once(probe, "close");
  return port;
}

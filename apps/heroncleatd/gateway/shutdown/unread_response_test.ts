import { createServer, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { waitUntil } from "../../hub/wait_until.ts";
import type { RunningGateway } from "../running_gateway.ts";
import { testGateway } from "../test_gateway.ts";

const HOST = "127.0.0.27";
const PORT = 25_471;
const CONTROL = "hub:1";
/** More than the buffers of the caller's connection hold. */
const BODY_BYTES = 15_000_000;
const GRACE_PERIOD_MS = 8000;
/** After idle connections are closed, long enough before the exit to read. */
const READ_AFTER_MS = 6250;

let upstream: Server;
let gateway: RunningGateway;

beforeEach(async () => {
  upstream = createServer((incoming, response) => {
    response.writeHead(200, {
      "x-attempt": String(incoming.headers["x-attempt"]),
      "x-digest": "d",
      "content-length": BODY_BYTES,
    });
    response.end(Buffer.alloc(BODY_BYTES, "x"));
  });
  await new Promise<void>((resolve) =>
    upstream.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = upstream.address() as AddressInfo;
  const reply = testGateway.createReply({
    address: `${HOST}:${PORT}`,
    control: CONTROL,
    upstreams: [testGateway.createRecord({ address: `127.0.0.1:${port}` })],
    document: testGateway.createDocument([
      testGateway.createRoute({ timeout: 10_000 }),
    ]),
  });
  gateway = await testGateway.start({
    address: `${HOST}:${PORT}`,
    noticeAddress: `${HOST}:${PORT + 1}`,
    gracePeriod: GRACE_PERIOD_MS,
    control: CONTROL,
    pool: testGateway.createPool(reply),
  });
  await waitUntil(() => gateway.isReady());
});

afterEach(() => {
  upstream.close();
  upstream.closeAllConnections();
});

// Guards against responses that a shutdown cuts since nothing is in flight any
// more once they are written, although their callers haven't received them.
test("a shutdown cuts no response that its caller is still reading", async () => {
  let received = 0;
  let stopped = Promise.resolve();
  const end = await new Promise<string>((resolve) => {
    const outgoing = request({
      host: HOST,
      port: PORT,
      agent: false,
      headers: { host: "inn.example", "x-attempt": "a1" },
    }, async (response) => {
      response.on("error", (error) => resolve(error.message));
      response.on("end", () => resolve("whole"));
      response.pause();
      stopped = gateway.stop();
      await pause(READ_AFTER_MS);
      response.on("data", (chunk: Buffer) => received += chunk.length);
      response.resume();
    });
    outgoing.on("error", (error) => resolve(error.message));
    outgoing.end();
  });
  await stopped;
  expect({ end, received }).toEqual({ end: "whole", received: BODY_BYTES });
});

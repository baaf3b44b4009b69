import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { createSystemClock } from "@heroncleat/base";
import { RequestProgress } from "../shutdown/request_progress.ts";
import { testHeaderNames } from "../test_header_names.ts";
import { endFailedRequest } from "./end_failed_request.ts";

const clock = createSystemClock();
const CONTEXT = {
  log: { debug() {}, info() {}, warn() {}, error() {} },
  metrics: { increment() {}, gauge() {}, timing() {}, close() {} },
  clock,
  appliedDocument: () => ({ version: 1, at: 0 }),
  names: testHeaderNames,
};

/** Longer than a connection that is broken off stays open. */
const BREAK_OFF_MS = 200;

let server: Server;
/** The connection of the caller at the server. */
let accepted: Socket;

afterEach(() => {
  server.close();
  server.closeAllConnections();
});

// Guards against a promise that a request has not run although it may have.
test("a request that fails after it was sent may have run", async () => {
  const response = await fail((progress) => progress.recordSent("u1", 0));
  expect(response.status).toBe(502);
  expect(response.headers.get("retry-after")).toBeNull();
  expect(await response.text()).toMatch(/may have run/);
});

// Guards against an entry that doesn't ask another one after such a failure.
test("an entry that passed on a failed request may ask another one", async () => {
  const response = await fail(() => {}, { relayedBy: "entry-2" });
  expect(response.status).toBe(503);
  expect(response.headers.get(testHeaderNames.notRun)).toBe("1");
});

// Guards against a response that looks complete after a failure.
test("a response that was begun is broken off", async () => {
  const response = await fail((_progress, begun) => {
    begun.writeHead(200, { "Transfer-Encoding": "chunked" });
    begun.write("a part");
  });
  await expect(response.text()).rejects.toThrow();
});

// Guards against the end of a connection that other requests use.
test("a request that fails behind its complete response leaves its connection open", async () => {
  const response = await fail((_progress, begun) => void begun.end("whole"));
  expect(await response.text()).toBe("whole");
  await pause(BREAK_OFF_MS);
  expect(accepted.destroyed).toBe(false);
});

/** Fails a request after `prepare`, and resolves to the caller's response. */
async function fail(
  prepare: (progress: RequestProgress, response: ServerResponse) => void,
  { relayedBy }: { relayedBy?: string } = {},
): Promise<Response> {
  server = createServer((_incoming, response) => {
    const progress = new RequestProgress();
    prepare(progress, response);
    void endFailedRequest({
      request: "t1",
      relayedBy,
      arrivedAt: clock.steady(),
      progress,
      response,
      error: new Error("a failure inside the entry"),
    }, CONTEXT);
  });
  server.on("connection", (socket) => accepted = socket);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return await fetch(`http://127.0.0.1:${port}/`);
}

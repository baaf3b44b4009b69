import { request } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RouteKind } from "@heroncleat/serving";
import { waitUntil } from "../../hub/wait_until.ts";
import type { RunningGateway } from "../running_gateway.ts";
import { testGateway } from "../test_gateway.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { type TestResponder, TestUpstream } from "../test_upstream.ts";

const HOST = "127.0.0.30";
const PORT = 25_498;
const CONTROL = "hub:1";
const GRACE_PERIOD_MS = 2000;
const TIMEOUT_MS = 10_000;
const RUN_TIME_MS = 300;
const BREAK_AFTER_MS = 800;

const upstreams: TestUpstream[] = [];
let gateway: RunningGateway;

function sendEvent(socket: Socket, id: number): void {
  const event = `id: ${id}\ndata: x\n\n`;
  socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
}

/** Sends two events; breaks behind the first one if the path says so. */
const respond: TestResponder = async ({ message }, socket) => {
  socket.write(
    `HTTP/1.1 200 OK\r\n${names.digest}: d\r\n` +
      `${names.attempt}: ${message.headers[names.attempt]}\r\n` +
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
  );
  if (message.headers[names.lastEvent] === undefined) {
    sendEvent(socket, 1);
    if (message.url === "/break") {
      await pause(BREAK_AFTER_MS);
      socket.destroy();
      return;
    }
    await pause(RUN_TIME_MS);
  }
  sendEvent(socket, 2);
  socket.write("0\r\n\r\n");
};

beforeEach(async () => {
  upstreams.push(
    await TestUpstream.start(respond),
    await TestUpstream.start(respond),
  );
  const reply = testGateway.createReply({
    address: `${HOST}:${PORT}`,
    control: CONTROL,
    upstreams: upstreams.map(({ address }, index) =>
      testGateway.createRecord({
        id: `u${index}`,
        name: `u${index}`,
        address,
        version: "v1",
      })
    ),
    document: testGateway.createDocument([
      testGateway.createRoute({
        kind: RouteKind.streaming,
        timeout: TIMEOUT_MS,
        isResumable: true,
        maxAttempts: 3,
      }),
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
  for (const upstream of upstreams.splice(0)) {
    upstream.close();
  }
});

// Guards against streams that are cut in a shutdown as the rest of them could
// take as long as a whole one.
test("a stream whose upstream breaks during a shutdown goes on at another", async () => {
  const broken = send("/break");
  await pause(50);
  const stopped = gateway.stop();
  expect(await broken).toBe("200, whole");
  await stopped;
});

/** Resolves with the status, and whether the response is whole. */
function send(path: string): Promise<string> {
  return new Promise((resolve) => {
    const outgoing = request({
      host: HOST,
      port: PORT,
      path,
      method: "POST",
      agent: false,
      headers: {
        host: "inn.example",
        [names.attempt]: `a${Math.random()}`,
        [names.timeLeft]: String(TIMEOUT_MS),
      },
    }, (response) => {
      const status = response.statusCode!;
      response.resume();
      response.on("error", () => resolve(`${status}, cut`));
      response.on("end", () => resolve(`${status}, whole`));
    });
    outgoing.on("error", (error) => resolve(error.message));
    outgoing.end();
  });
}

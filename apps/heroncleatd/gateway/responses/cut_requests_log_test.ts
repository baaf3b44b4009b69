import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RouteKind } from "@heroncleat/serving";
import type { RunningGateway } from "../running_gateway.ts";
import { testGateway } from "../test_gateway.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { waitUntil } from "../../hub/wait_until.ts";
import { describeConnectionEnd } from "./describe_connection_end.ts";
import { recordCutRequest } from "./record_cut_request.ts";

const HOST = "127.0.0.25";
const ADDRESS = `${HOST}:25461`;
const CONTROL = "hub:1";
const EVENT = "id: 1\ndata: 1\n\n";
const VERSION = 7;

type Line = { readonly message: string } & Readonly<Record<string, unknown>>;

const lines: Line[] = [];
const record = (message: string, fields = {}) =>
  void lines.push({ message, ...fields });
const log = { debug() {}, info: record, warn() {}, error: record };

let upstream: Server;
let gateway: RunningGateway;
let caller: Socket;
let stopped: Promise<void> | undefined;
/** What the upstream does with a request. */
let respond: (response: ServerResponse) => void;

const begin = (response: ServerResponse) => {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    [names.digest]: "d",
  });
  response.write(EVENT);
};

beforeEach(async () => {
  lines.length = 0;
  respond = begin;
  stopped = undefined;
  upstream = createServer((incoming, response) => {
    response.setHeader(names.attempt, String(incoming.headers[names.attempt]));
    respond(response);
  });
  await new Promise<void>((resolve) =>
    upstream.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = upstream.address() as AddressInfo;
  const reply = testGateway.createReply({
    address: ADDRESS,
    control: CONTROL,
    upstreams: [testGateway.createRecord({ address: `127.0.0.1:${port}` })],
    document: testGateway.createDocument([
      testGateway.createRoute({ kind: RouteKind.streaming, timeout: 700 }),
    ], { version: VERSION }),
  });
  gateway = await testGateway.start({
    address: ADDRESS,
    noticeAddress: `${HOST}:25462`,
    gracePeriod: 100,
    control: CONTROL,
    pool: testGateway.createPool(reply),
    log,
  });
  await waitUntil(() => Promise.resolve(gateway.isReady()));
  caller = connect(25461, HOST);
  caller.on("error", () => {});
});

afterEach(async () => {
  caller.destroy();
  await (stopped ?? gateway.stop());
  upstream.close();
  upstream.closeAllConnections();
});

function send(length = 0): void {
  caller.write(
    `POST / HTTP/1.1\r\nhost: inn.example\r\n${names.attempt}: a1\r\n` +
      `content-length: ${length}\r\n\r\n`,
  );
}

async function findLine(): Promise<Line> {
  const find = () =>
    lines.find(({ message, request }) =>
      request === "a1" &&
      (message.startsWith("A request ended") || message === "A request was cut")
    );
  await waitUntil(() => Promise.resolve(find() !== undefined));
  return find()!;
}

// Guards against cut responses of which no log says who ended them.
test.each([
  ["its caller resets", "caller", "ECONNRESET", () => {
    caller.once("data", () => caller.resetAndDestroy());
    send();
  }],
  ["its caller closes", "caller", "fin", () => {
    caller.once("data", () => caller.end());
    send();
  }],
  ["its caller leaves within the body", "caller", "ECONNRESET", async () => {
    send(10);
    await pause(50);
    caller.resetAndDestroy();
  }],
  ["the upstream breaks off", "upstream", "closed_here", () => {
    respond = (response) => {
      begin(response);
      setTimeout(() => response.destroy(), 50);
    };
    send();
  }],
  ["the upstream ends inside an event", "upstream", "closed_here", () => {
    respond = (response) => {
      begin(response);
      response.end("data: half");
    };
    send();
  }],
  ["the response isn't one to it", "invalid_response", "open", () => {
    respond = (response) => {
      response.removeHeader(names.attempt);
      response.end();
    };
    send();
  }],
  ["the deadline passes", "deadline", "closed_here", () => send()],
  ["the entry leaves", "shutdown", "closed_here", () => {
    caller.once("data", () => stopped = gateway.stop());
    send();
  }],
])(
  "the line of a request says who ended it: %s",
  async (_, endedBy, connection, play) => {
    await play();
    expect(await findLine()).toMatchObject({
      endedBy,
      connection,
      appliedVersion: VERSION,
      changeAge: expect.any(Number),
    });
  },
);

test("the line of a request that failed has the error and the configuration", () => {
  recordCutRequest({
    request: "a1",
    arrivedAt: 1000,
    response: { socket: null, headersSent: true } as ServerResponse,
    error: new Error("broken"),
  }, {
    log,
    metrics: { increment() {}, gauge() {}, timing() {}, close() {} },
    clock: { steady: () => 5000 },
    appliedDocument: () => ({ version: VERSION, at: 3000 }),
  });
  expect(lines.at(-1)).toEqual({
    message: "A request failed",
    request: "a1",
    endedBy: "failure",
    connection: "open",
    isBegun: 1,
    took: 4000,
    appliedVersion: VERSION,
    changeAge: 2000,
    code: "",
    error: expect.stringContaining("broken"),
  });
});

test("a connection that this process closed isn't taken for its caller's", () => {
  const closed = { destroyed: true, errored: null, readableEnded: false };
  expect(describeConnectionEnd(closed)).toBe("closed_here");
  expect(describeConnectionEnd({ ...closed, readableEnded: true })).toBe("fin");
});

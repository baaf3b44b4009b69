import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect, Socket } from "node:net";
import type { CallerRequest } from "../caller_request.ts";
import { readResponseBody } from "../responses/read_response_body.ts";
import { sendToUpstream } from "./send_to_upstream.ts";
import { testHeaderNames } from "../test_header_names.ts";
import { UpstreamAgent } from "./upstream_agent.ts";

const EVENTS = 20;
const TEST_TIMEOUT_MS = 5000;

/** Counts how often reading stops while an upstream responds in chunks. */
async function countStops(onRequest: RequestListener): Promise<number> {
  const server = createServer(onRequest);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new UpstreamAgent(() => 16, connect);
  let stops = 0;
  const result = await sendToUpstream({
    attempt: "a1",
    method: "GET",
    target: "/",
    body: Buffer.alloc(0),
  } as CallerRequest, {
    address: `127.0.0.1:${port}`,
    agent,
    headers: ["Host", "upstream"],
    names: testHeaderNames,
    signal: new AbortController().signal,
  });
  if (result.kind !== "head") {
    throw new Error(result.kind);
  }
  const handle = (result.message.socket as Socket & {
    _handle: { readStop(): number };
  })._handle;
  const { readStop } = handle;
  handle.readStop = () => {
    stops += 1;
    return readStop.call(handle);
  };
  const body = await readResponseBody(result.message);
  expect(body?.length).toBe(EVENTS * 4);
  agent.destroy();
  server.close();
  return stops;
}

/** Sends events spaced apart, so that each is read separately. */
function respondWith(headers: Record<string, string>): RequestListener {
  return async (_request, response) => {
    response.writeHead(200, {
      [testHeaderNames.attempt]: "a1",
      [testHeaderNames.digest]: "d",
      ...headers,
    });
    for (let sent = 0; sent < EVENTS; sent += 1) {
      response.write("abc\n");
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    response.end();
  };
}

// Guards against extra system calls for each event of a stream: only bodies
// that are delimited by the end of the connection need reading to stop.
describe("reading a response", () => {
  test("doesn't stop if the body is chunked or has a length", async () => {
    expect(await countStops(respondWith({}))).toBeLessThan(2);
    const length = { "Content-Length": String(EVENTS * 4) };
    expect(await countStops(respondWith(length))).toBeLessThan(2);
  });

  test("stops at each read if the end of the connection delimits the body", async () => {
    const unframed: RequestListener = (request, response) => {
      response.useChunkedEncodingByDefault = false;
      void respondWith({ Connection: "close" })(request, response);
    };
    expect(await countStops(unframed)).toBeGreaterThanOrEqual(EVENTS / 2);
  });
});

// Guards against a request that was never sent counting as one that may have
// run, as the process had no descriptor for its connection.
test(
  "a connection that fails as it is opened leaves a request not run",
  async () => {
    const agent = new UpstreamAgent(() => 16, () => {
      const socket = new Socket();
      const error = Object.assign(new Error("connect"), { code: "EMFILE" });
      // Like Node, which connects in the next tick.
      process.nextTick(() => socket.destroy(error));
      return socket;
    });
    const result = await sendToUpstream({
      attempt: "a1",
      method: "GET",
      target: "/",
      body: Buffer.alloc(0),
    } as CallerRequest, {
      address: "127.0.0.1:9",
      agent,
      headers: ["Host", "upstream"],
      names: testHeaderNames,
      signal: new AbortController().signal,
    });
    agent.destroy();
    expect(result).toEqual({ kind: "not_run", reason: "EMFILE" });
  },
  TEST_TIMEOUT_MS,
);

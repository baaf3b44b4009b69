import { Agent } from "node:http";
import { EndlessUpstream } from "../gateway/responses/endless_upstream.ts";
import { sendOrder } from "./send_order.ts";

const TIMEOUT_MS = 5000;
const MAX_WRITTEN_BYTES = 8 * 1024 * 1024;
const LINE = "x".repeat(1024);
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

const RESPONSES = {
  "a body of a success": {
    start: `HTTP/1.1 200 OK\r\n${CHUNKED}`,
    repeated: `400\r\n${LINE}\r\n`,
    succeeded: true,
  },
  "a body of an error": {
    start: `HTTP/1.1 500 Internal Server Error\r\n${CHUNKED}`,
    repeated: `400\r\n${LINE}\r\n`,
    succeeded: false,
  },
  "header fields": {
    start: "HTTP/1.1 200 OK\r\n",
    repeated: "a: b\r\n",
    succeeded: false,
  },
};

// Guards against upstreams that fill a replica's memory with the response to an
// order.
test.each(Object.entries(RESPONSES))(
  "%s without end close the connection of an order",
  async (_, { start, repeated, succeeded }) => {
    const upstream = await EndlessUpstream.start({ start, repeated });
    const agent = new Agent();
    const startedAt = performance.now();
    const outcome = await sendOrder({
      agent,
      address: upstream.address,
      path: "/v1/role",
      body: {},
      fencingNumber: 1,
      timeout: TIMEOUT_MS,
    });
    expect(outcome.succeeded).toBe(succeeded);
    while (upstream.connections.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(performance.now() - startedAt).toBeLessThan(TIMEOUT_MS / 2);
    expect(upstream.connections[0]!.written).toBeLessThan(MAX_WRITTEN_BYTES);
    upstream.close();
    agent.destroy();
  },
);

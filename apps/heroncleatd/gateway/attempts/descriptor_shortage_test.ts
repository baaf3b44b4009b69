import { type AddressInfo, connect, Socket } from "node:net";
import { createTestContext } from "../create_test_context.ts";
import { startTestEntry } from "../start_test_entry.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { TestUpstream } from "../test_upstream.ts";
import { UpstreamAgent } from "../upstreams/upstream_agent.ts";

const closers: (() => void)[] = [];
const onClose = (close: () => void) => void closers.push(close);

afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

// Guards against an entry that takes its only upstream for gone, and gives up
// what runs there, as it has no descriptor for a further connection.
test("a shortage of descriptors says nothing about an upstream", async () => {
  const upstream = await TestUpstream.start(({ message }, socket) =>
    void socket.write(
      `HTTP/1.1 200 OK\r\n${names.digest}: d\r\n` +
        `${names.attempt}: ${message.headers[names.attempt]}\r\n` +
        "Content-Length: 2\r\n\r\nok",
    )
  );
  onClose(() => upstream.close());
  let hasDescriptors = false;
  const agent = new UpstreamAgent(() => 0, (options) => {
    if (hasDescriptors) {
      return connect(options);
    }
    const socket = new Socket();
    const error = Object.assign(new Error("connect"), { code: "EMFILE" });
    process.nextTick(() => socket.destroy(error));
    return socket;
  });
  onClose(() => agent.destroy());
  const context = createTestContext([upstream], onClose);
  const counted: string[] = [];
  const lines: string[] = [];
  const entry = await startTestEntry({
    upstreams: [upstream],
    context: {
      ...context,
      agentOf: () => agent,
      metrics: {
        ...context.metrics,
        increment: (name) => void counted.push(name),
      },
      log: { ...context.log, warn: (line) => void lines.push(line) },
    },
  }, onClose);
  const { port } = entry.address() as AddressInfo;
  const send = async () => {
    const headers = { [names.attempt]: "a1" };
    const response = await fetch(`http://127.0.0.1:${port}/`, { headers });
    return { status: response.status, body: await response.text() };
  };
  const { status, body } = await send();
  expect(status).toBe(503);
  expect(body).toContain("has not run");
  expect(counted).toContain("gateway.without_descriptor");
  expect(lines).toContain(
    "No descriptor is left for a connection to an upstream",
  );
  expect(context.reachability.isCutOff("desk")).toBe(false);
  hasDescriptors = true;
  expect(await send()).toEqual({ status: 200, body: "ok" });
});

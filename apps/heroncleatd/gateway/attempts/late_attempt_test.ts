import type { AddressInfo } from "node:net";
import { RouteKind } from "@heroncleat/serving";
import { createTestContext } from "../create_test_context.ts";
import { startTestEntry } from "../start_test_entry.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { type TestResponder, TestUpstream } from "../test_upstream.ts";

const GRACE_PERIOD_MS = 2000;
const TIMEOUT_MS = 10_000;

const closers: (() => void)[] = [];
const onClose = (close: () => void) => void closers.push(close);
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

async function startUpstream(respond: TestResponder): Promise<TestUpstream> {
  const upstream = await TestUpstream.start(respond);
  onClose(() => upstream.close());
  return upstream;
}

const answer: TestResponder = ({ message }, socket) => {
  socket.write(
    `HTTP/1.1 200 OK\r\n${names.attempt}: ${message.headers[names.attempt]}` +
      `\r\n${names.digest}: d\r\nContent-Length: 2\r\n\r\nok`,
  );
};

// Guards against attempts that begin without time to complete before the exit.
test("a request whose run breaks off late in a stop isn't sent again", async () => {
  const broken = await startUpstream((_request, socket) => socket.destroy());
  const sound = await startUpstream(answer);
  const context = createTestContext([broken, sound], onClose);
  const entry = await startTestEntry({
    upstreams: [broken, sound],
    kind: RouteKind.idempotent,
    timeout: TIMEOUT_MS,
    context: {
      ...context,
      breaks: {
        ...context.breaks,
        recordBreak: () => context.leaving.begin(GRACE_PERIOD_MS),
      },
    },
  }, onClose);
  const { port } = entry.address() as AddressInfo;
  const response = await fetch(`http://127.0.0.1:${port}/`, {
    headers: { [names.attempt]: "a1" },
  });
  expect(response.status).toBe(502);
  expect(await response.text()).toContain("may have run");
  expect(broken.received).toHaveLength(1);
  expect(sound.received).toHaveLength(0);
});

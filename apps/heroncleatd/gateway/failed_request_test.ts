import type { RunningGateway } from "./running_gateway.ts";
import { testGateway } from "./test_gateway.ts";
import { TestUpstream } from "./test_upstream.ts";

const HOST = "127.0.0.24";
const CONTROL = `${HOST}:25430`;
const ADDRESS = `${HOST}:25431`;
const document = testGateway.createDocument([
  testGateway.createRoute({ host: HOST }),
]);

const lines: { message: string; context: Record<string, unknown> }[] = [];
const log = {
  debug() {},
  info() {},
  warn() {},
  error: (message: string, context: Record<string, unknown> = {}) =>
    void lines.push({ message, context }),
};
let upstream: TestUpstream;
let gateway: RunningGateway;

beforeEach(async () => {
  lines.length = 0;
  upstream = await TestUpstream.start(({ message }, socket) =>
    void socket.write(
      "HTTP/1.1 200 OK\r\nx-digest: d\r\nContent-Length: 0\r\n" +
        `x-attempt: ${message.headers["x-attempt"]}\r\n\r\n`,
    )
  );
  const record = testGateway.createRecord({ address: upstream.address });
  gateway = await testGateway.start({
    address: ADDRESS,
    noticeAddress: `${HOST}:25432`,
    control: CONTROL,
    gracePeriod: 500,
    pool: testGateway.createPool(testGateway.createReply({
      address: ADDRESS,
      control: CONTROL,
      upstreams: [record],
      document,
    })),
    log,
    readPrompt: (headers) => {
      if (headers["x-fails"] !== undefined) {
        throw new RangeError("a failure inside the entry");
      }
      return undefined;
    },
  });
});

afterEach(async () => {
  await gateway.stop();
  upstream.close();
});

// Guards against requests that fail inside an entry and get no answer.
test("a request that fails before it is sent is refused as not run", async () => {
  const failed = await send({ "x-attempt": "t1", "x-fails": "1" });
  expect(failed.status).toBe(503);
  expect(Number(failed.headers.get("retry-after"))).toBeGreaterThan(0);
  expect(await failed.text()).toMatch(/has not run\. Remedy/);
  expect(lines).toEqual([
    expect.objectContaining({ message: "A request failed" }),
  ]);
  expect(lines[0]!.context).toMatchObject({ request: "t1", wasSent: 0 });
  expect(upstream.received).toEqual([]);
  expect((await send({ "x-attempt": "t2" })).status).toBe(200);
});

async function send(headers: Record<string, string>): Promise<Response> {
  return await fetch(`http://${ADDRESS}/a`, {
    headers,
  });
}

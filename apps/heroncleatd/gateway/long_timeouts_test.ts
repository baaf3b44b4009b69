import type { RunningGateway } from "./running_gateway.ts";
import { testGateway } from "./test_gateway.ts";
import { TestUpstream } from "./test_upstream.ts";

const HOST = "127.0.0.26";
const CONTROL = `${HOST}:25450`;
const ADDRESS = `${HOST}:25451`;
/** Longer than a timer of Node.js. */
const LONG_TIME_MS = 2 ** 32 + 1;
const UPSTREAM_TIME_MS = 50;

// Guards against requests that time out at once where a document allows weeks.
test("requests are served where the document's timeouts exceed the longest timer", async () => {
  const upstream = await TestUpstream.start(({ message }, socket) =>
    void setTimeout(() =>
      socket.write(
        "HTTP/1.1 200 OK\r\nx-digest: d\r\nContent-Length: 0\r\n" +
          `x-attempt: ${message.headers["x-attempt"]}\r\n\r\n`,
      ), UPSTREAM_TIME_MS)
  );
  const document = testGateway.createDocument([
    testGateway.createRoute({ host: HOST, timeout: LONG_TIME_MS }),
  ], {
    limits: {
      maxHeaderBytes: 4096,
      maxBodyBytes: 2000,
      headerTimeout: LONG_TIME_MS,
      idleTimeout: LONG_TIME_MS,
    },
  });
  const gateway: RunningGateway = await testGateway.start({
    address: ADDRESS,
    noticeAddress: `${HOST}:25452`,
    control: CONTROL,
    gracePeriod: 500,
    pool: testGateway.createPool(testGateway.createReply({
      address: ADDRESS,
      control: CONTROL,
      upstreams: [testGateway.createRecord({ address: upstream.address })],
      document,
    })),
  });
  const statuses: number[] = [];
  for (let index = 0; index < 3; index += 1) {
    const response = await fetch(`http://${ADDRESS}/a`, {
      method: "POST",
      body: "a body",
      headers: { "x-attempt": `t${index}` },
    });
    statuses.push(response.status);
  }
  await gateway.stop();
  upstream.close();
  expect(statuses).toEqual([200, 200, 200]);
});

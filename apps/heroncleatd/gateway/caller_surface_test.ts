import { once } from "node:events";
import { connect } from "node:net";
import { RouteKind } from "@heroncleat/serving";
import { PeerPool, PeerServer } from "@heroncleat/transport";
import fc from "fast-check";
import type { RunningGateway } from "./running_gateway.ts";
import { testGateway } from "./test_gateway.ts";
import { TestUpstream } from "./test_upstream.ts";

const HOST = "127.0.0.21";
const HUB = `${HOST}:25400`;
const ADDRESS = `${HOST}:25401`;
const MAX_BODY_BYTES = 2000;
/** Time to wait for the end of a connection with a malformed request. */
const RESPONSE_WAIT_MS = 60;
const document = testGateway.createDocument([
  testGateway.createRoute({
    kind: RouteKind.nonIdempotent,
    latencyObjective: 200,
    isPublic: false,
  }),
], {
  workspaces: [{
    name: "inn",
    keys: ["k1"],
    priority: undefined,
    rate: 0,
    burst: 0,
    defaultCharge: 1,
    countsTokens: false,
  }],
  limits: {
    maxHeaderBytes: 4096,
    maxBodyBytes: MAX_BODY_BYTES,
    headerTimeout: 500,
    idleTimeout: 5000,
  },
});

let upstream: TestUpstream;
let hub: PeerServer;
let gateway: RunningGateway;
const pool = new PeerPool({
  secret: "",
  connectTimeout: 500,
  localHost: "",
});

beforeAll(async () => {
  upstream = await TestUpstream.start(({ message, body }, socket) =>
    void socket.write(
      "HTTP/1.1 200 OK\r\nx-digest: d\r\n" +
        `x-attempt: ${message.headers["x-attempt"]}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    )
  );
  hub = new PeerServer({ address: HUB, secret: "", onProblem: () => {} });
  hub.serve({ "hub.sync": () => reply() });
  await hub.listen();
  gateway = await testGateway.start({
    address: ADDRESS,
    noticeAddress: `${HOST}:25402`,
    gracePeriod: 500,
    control: HUB,
    pool,
  });
  while (!gateway.isReady()) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
});

afterAll(async () => {
  await gateway.stop();
  pool.close();
  await hub.close();
  upstream.close();
});

function reply() {
  return testGateway.createReply({
    address: ADDRESS,
    control: HUB,
    upstreams: [testGateway.createRecord({ address: upstream.address })],
    document,
  });
}

/** Sends bytes and returns what is received until the connection ends. */
async function exchange(
  text: string,
  waitTime = RESPONSE_WAIT_MS,
): Promise<string> {
  const [host, port] = ADDRESS.split(":");
  const socket = connect(Number(port), host);
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  socket.on("error", () => {});
  socket.write(text);
  // The server waits for the rest of some malformed requests.
  const timer = setTimeout(() => socket.destroy(), waitTime);
  await once(socket, "close");
  clearTimeout(timer);
  return received;
}

function validRequest(attempt: string, body = "a table for two"): string {
  return "POST /hold HTTP/1.1\r\nHost: inn.example\r\nx-key: k1\r\n" +
    `x-attempt: ${attempt}\r\nConnection: close\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Request heads that are malformed in various ways. */
const malformedHeads = fc.array(
  fc.oneof(
    fc.string({ maxLength: 30 }),
    fc.constantFrom(
      "POST /hold HTTP/1.1",
      "GET / HTTP/1.1",
      "Host: inn.example",
      "Host: other.example",
      "x-key: k1",
      "x-key: wrong",
      "x-attempt: odd",
      "Content-Length: 3",
      "Content-Length: 4",
      "Content-Length: 99999999",
      "Transfer-Encoding: chunked",
      "Transfer-Encoding: gzip, chunked",
      "Expect: 100-continue",
      "Upgrade: h2c",
      "Connection: upgrade",
      `x-long: ${"x".repeat(70_000)}`,
    ),
  ),
  { maxLength: 8 },
);
const malformedBodies = fc.constantFrom(
  "",
  "abc",
  "3\r\nabc\r\n0\r\n\r\n",
  "zz\r\nabc\r\n0\r\n\r\n",
  "fffffffffffffffff\r\nabc",
  "x".repeat(MAX_BODY_BYTES + 10),
);

/** Complete requests whose responses can't be matched to their attempt. */
const MISTAKEN_FOR_FAILURES: [string[], string][] = [
  ["POST /hold HTTP/1.1", "Host: inn.example", "x-key: k1"],
  [
    "POST /hold HTTP/1.1",
    "Host: inn.example",
    "x-key: k1",
    "x-attempt: odd",
    "x-attempt: even",
  ],
  ["POST /hold HTTP/1.1", "Host: inn.example", "x-key: k1", "x-attempt:"],
].map((heads) => [heads, "junk"]);

describe("a caller's connection", () => {
  test("with malformed data is responded to or closed, without effect on other requests", async () => {
    let served = 0;
    await fc.assert(
      fc.asyncProperty(malformedHeads, malformedBodies, async (heads, body) => {
        const received = await exchange(`${heads.join("\r\n")}\r\n\r\n${body}`);
        expect(received).toMatch(/^$|^HTTP\/1\.1 \d{3} /);
        served += 1;
        const response = await exchange(validRequest(`sound-${served}`), 5000);
        expect(response).toMatch(/^HTTP\/1\.1 200 /);
        expect(response).toMatch(/a table for two$/);
      }),
      { numRuns: 60, examples: MISTAKEN_FOR_FAILURES },
    );
    const attempts = upstream.received.map(({ headers }) =>
      headers["x-attempt"]
    );
    const validAttempts = attempts.filter((attempt) => attempt !== "odd");
    expect(validAttempts.length).toBe(served);
  });

  test("can't smuggle a request inside another one", async () => {
    const inner = validRequest("smuggled");
    const texts = [
      // Both a length and chunked encoding.
      `POST /hold HTTP/1.1\r\nHost: inn.example\r\nx-key: k1\r\n` +
      `x-attempt: outer-1\r\nContent-Length: 4\r\n` +
      `Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n${inner}`,
      // Two lengths.
      `POST /hold HTTP/1.1\r\nHost: inn.example\r\nx-key: k1\r\n` +
      `x-attempt: outer-2\r\nContent-Length: 0\r\n` +
      `Content-Length: ${inner.length}\r\n\r\n${inner}`,
      // The body of a request that is refused before its body is read.
      `POST /hold HTTP/1.1\r\nHost: inn.example\r\nx-key: wrong\r\n` +
      `x-attempt: outer-3\r\nContent-Length: ${inner.length}\r\n\r\n${inner}`,
    ];
    for (const text of texts) {
      expect(await exchange(text, 1000)).not.toMatch(/ 200 /);
    }
    const attempts = upstream.received.map(({ headers }) =>
      headers["x-attempt"]
    );
    expect(attempts).not.toContain("smuggled");
  });

  test("receives what is wrong with its request, and the remedy", async () => {
    const cases: [string, RegExp][] = [
      [
        validRequest("a").replace("inn.example", "none.example"),
        / 404 .*Remedy/s,
      ],
      [validRequest("a").replace("k1", "k9"), / 401 .*Remedy/s],
      [validRequest("a").replace("x-attempt: a\r\n", ""), / 400 .*Remedy/s],
      [
        validRequest("a").replace("x-key", "x-attempt: b\r\nx-key"),
        / 400 .*Remedy/s,
      ],
      [validRequest("a", "x".repeat(MAX_BODY_BYTES + 1)), / 413 .*Remedy/s],
    ];
    for (const [text, expected] of cases) {
      expect(await exchange(text, 1000)).toMatch(expected);
    }
  });

  test("that sends a chunked body is served", async () => {
    const text = validRequest("chunked").replace(
      "Content-Length: 15",
      "Transfer-Encoding: chunked",
    ).replace("a table for two", "7\r\na table\r\n8\r\n for two\r\n0\r\n\r\n");
    expect(await exchange(text, 5000)).toMatch(/ 200 .*a table for two$/s);
    expect(upstream.received.at(-1)?.body).toBe("a table for two");
  });
});

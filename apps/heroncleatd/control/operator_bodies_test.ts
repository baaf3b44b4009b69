import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { KeyRing } from "../common/key_ring.ts";
import { OperatorServer } from "./operator_server.ts";

const KIB = 1024;
const TOKEN = "t";
/** Each holds nearly as much as one body may, all together more than fits. */
const UNFINISHED_CALLS = 24;
const MEMORY = 16 * KIB * KIB;

let server: OperatorServer;
let port: number;
let callers: Socket[] = [];

beforeEach(async () => {
  callers = [];
  port = await findFreePort();
  server = new OperatorServer(createOptions(`127.0.9.54:${port}`));
  await server.listen();
});

afterEach(() => {
  for (const caller of callers) {
    caller.destroy();
  }
  server.close();
});

// Guards against operators' changes that hold more memory together than there is.
test("unfinished changes that hold too much are refused", async () => {
  const chunk = `${KIB.toString(16)}\r\n${"x".repeat(KIB)}\r\n`;
  const replies = Array.from(
    { length: UNFINISHED_CALLS },
    () => send(`${chunked(TOKEN)}${chunk.repeat(900)}`),
  );
  const first = await Promise.race(replies);
  expect(first).toMatch(/^HTTP\/1.1 429 /);
  expect(first).toMatch(/retry-after: /i);
});

// Guards against changes whose chunks take far more memory than their bytes.
test("a change in chunks of one byte is refused", async () => {
  const reply = await send(`${chunked(TOKEN)}${"1\r\nx\r\n".repeat(20_000)}`);
  expect(reply).toMatch(/^HTTP\/1.1 400 /);
  expect(reply).toContain("Remedy: send larger chunks");
});

// Guards against bodies of strangers that are read on.
test("a change without a token ends its connection", async () => {
  const reply = await send(`${chunked("")}1\r\nx\r\n`);
  expect(reply).toMatch(/^HTTP\/1.1 401 /);
  expect(reply).toMatch(/connection: close/i);
});

function chunked(token: string): string {
  return "POST /v1/operator/changes HTTP/1.1\r\nHost: control\r\n" +
    (token === "" ? "" : `Authorization: Bearer ${token}\r\n`) +
    "Transfer-Encoding: chunked\r\n\r\n";
}

/** Resolves to everything received until the connection closes. */
async function send(bytes: string): Promise<string> {
  const caller = connect(port, "127.0.9.54");
  callers.push(caller);
  let received = "";
  caller.on("data", (chunk) => received += chunk);
  caller.on("error", () => {});
  caller.write(bytes);
  await once(caller, "close");
  return received;
}

function createOptions(
  address: string,
): ConstructorParameters<typeof OperatorServer>[0] {
  return {
    settings: {
      operator_address: address,
      body_memory: MEMORY,
      max_body_chunks: 4096,
      max_connections: 500,
    },
    address,
    operators: new KeyRing({ demo: TOKEN }),
    clock: { steady: () => performance.now() },
    log: { debug() {}, info() {}, warn() {}, error() {} },
    metrics: { increment() {} },
  } as never;
}

async function findFreePort(): Promise<number> {
  const probe = createServer().listen(0, "127.0.9.54");
  await once(probe, "listening");
  const { port } = probe.address() as AddressInfo;
  probe.close();
  await once(probe, "close");
  return port;
}

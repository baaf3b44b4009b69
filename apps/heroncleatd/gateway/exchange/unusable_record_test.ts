import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import type { SyncReply, UpstreamRecord } from "@heroncleat/serving";
import type { RunningGateway } from "../running_gateway.ts";
import { testGateway } from "../test_gateway.ts";
import { TestUpstream } from "../test_upstream.ts";

const HOST = "127.0.0.25";
const CONTROL = `${HOST}:25440`;
const ADDRESS = `${HOST}:25441`;
const REQUESTS = 20;
const SYNC_TIME_MS = 800;
const document = testGateway.createDocument([
  testGateway.createRoute({ host: HOST }),
]);

let upstream: TestUpstream;
let gateway: RunningGateway;
let counted: Record<string, number>;
/** What the control replica replies. */
let reply: Omit<SyncReply, "upstreams" | "revision"> & {
  upstreams: UpstreamRecord[];
  revision: number;
};

beforeEach(async () => {
  counted = {};
  upstream = await TestUpstream.start(({ message }, socket) =>
    void socket.write(
      "HTTP/1.1 200 OK\r\nx-digest: d\r\nContent-Length: 0\r\n" +
        `x-attempt: ${message.headers["x-attempt"]}\r\n\r\n`,
    )
  );
});

afterEach(async () => {
  await gateway.stop();
  upstream.close();
});

// Guards against requests for an upstream that a replica of an earlier release accepted.
test("an upstream with an unusable address gets no requests", async () => {
  await start(["127.0.0.1:70000", upstream.address]);
  for (let index = 0; index < REQUESTS; index += 1) {
    expect(await send(`t${index}`)).toBe(200);
  }
  expect(counted["upstream_records.unusable_address"]).toBeGreaterThan(0);
  expect(upstream.received).toHaveLength(REQUESTS);
});

// Guards against a later start that hides behind the address of an earlier one.
test("a later start with an unusable address replaces the earlier one", async () => {
  await start(["127.0.0.1:70000"], [
    testGateway.createRecord({
      id: "u0@1",
      name: "u0",
      born: 1,
      address: upstream.address,
    }),
  ]);
  expect(await send("t0")).toBe(503);
  expect(upstream.received).toEqual([]);
});

// Guards against an upstream that gets nothing after it has corrected its address.
test("a corrected address is used", async () => {
  await start(["127.0.0.1:70000"]);
  expect(await send("t0")).toBe(503);
  reply.upstreams[0] = testGateway.createRecord({
    id: "u0@2",
    name: "u0",
    born: 2,
    address: upstream.address,
    sequence: 2,
  });
  reply.revision = 2;
  await new Promise((resolve) => setTimeout(resolve, SYNC_TIME_MS));
  expect(await send("t1")).toBe(200);
});

// Guards against a record that costs the rest of a reply.
test.each([null, {}, { id: "u9", state: "ready" }])(
  "the record %j costs no other upstream its requests",
  async (record) => {
    await start([upstream.address], [record as never]);
    expect(await send("t0")).toBe(200);
  },
);

// Guards against entries that a replica lists and that end a request or fill
// headers and lines.
test.each([
  null,
  {},
  { address: "127.0.0.1:70000" },
  { address: "999.1.1.1:80" },
  { address: "x".repeat(60_000) },
  { name: "x".repeat(60_000) },
  { name: "a\r\nX-Added: 1" },
  { name: 7 },
  { zone: null },
  { unreachable: 5 },
])("the entry %j costs nobody anything and isn't used", async (part) => {
  const sound = { name: "b", address: "127.0.0.26:80", zone: "a", region: "r" };
  const entries = [
    { name: "entry", address: ADDRESS, zone: "a", region: "r" },
    part && Object.keys(part).length > 0 ? { ...sound, ...part } : part,
    { ...sound, name: "c" },
  ];
  await start([upstream.address], [], entries as SyncReply["entries"]);
  expect(await send("t0")).toBe(200);
  expect(gateway.listEntries().map(({ name }) => name)).toEqual(["entry", "c"]);
  expect(counted["entry_records.unusable"]).toBeGreaterThan(0);
});

async function start(
  addresses: readonly string[],
  earlier: readonly ReturnType<typeof testGateway.createRecord>[] = [],
  entries?: SyncReply["entries"],
): Promise<void> {
  const records = addresses.map((address, index) =>
    testGateway.createRecord({
      id: `u${index}@2`,
      name: `u${index}`,
      born: 2,
      address,
    })
  );
  reply = {
    ...testGateway.createReply({
      address: ADDRESS,
      control: CONTROL,
      upstreams: [],
      document,
    }),
    upstreams: [...earlier, ...records],
    ...(entries === undefined ? {} : { entries }),
  };
  gateway = await testGateway.start({
    address: ADDRESS,
    noticeAddress: `${HOST}:25442`,
    control: CONTROL,
    gracePeriod: 500,
    pool: testGateway.createPool(reply as SyncReply),
    metrics: {
      increment: (name) => counted[name] = (counted[name] ?? 0) + 1,
      gauge() {},
      timing() {},
      close() {},
    },
  });
}

async function send(attempt: string): Promise<number> {
  const outgoing = request(`http://${ADDRESS}/a`, {
    agent: false,
    headers: { "x-attempt": attempt },
  });
  outgoing.end();
  const [response] = await once(outgoing, "response") as [IncomingMessage];
  response.resume();
  return response.statusCode!;
}

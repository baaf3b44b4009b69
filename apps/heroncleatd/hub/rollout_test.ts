import { createServer, type Server } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import type { Rollout } from "@heroncleat/rollouts";
import type { ServingDocument } from "@heroncleat/serving";
import { runOperatorTool } from "./run_operator_tool.ts";
import { testDocument } from "./test_document.ts";
import { TestGroup } from "./test_group.ts";
import { testRecord } from "./test_record.ts";
import { waitUntil } from "./wait_until.ts";

const FIRST_PORT = 26_300;
const ENTRIES = 2;
const UPSTREAMS_PER_VERSION = 3;
const HEARTBEAT_MS = 400;
const RUN_TIME_MS = 25;
const DURATION_MS = 9000;
/** Failures without which the sequential test calls no version bad. */
const MIN_FAILURES = 4;
const ROLLBACK_MS = 5000;
const CALLERS = 6;

/** A request that an upstream received, and when it responded. */
type Arrival = { readonly version: string; readonly at: number };

/** Upstreams of one version. */
type Version = {
  readonly name: string;
  /** Share of the responses that are failures. */
  readonly failures: number;
  readonly servers: readonly Server[];
};

const group = new TestGroup(FIRST_PORT, [true, true, true]);
const arrivals: Arrival[] = [];
const failedAt: number[] = [];
const versions: Version[] = [];
const timers: NodeJS.Timeout[] = [];
let nextPort = FIRST_PORT + 40;
let isCalling = true;
let callers: Promise<void>[] = [];
const statuses: number[] = [];

const document: ServingDocument = {
  ...testDocument(1),
  services: ["desk", "kitchen"].map((name) => ({
    ...testDocument(1).services[0]!,
    name,
    maxConnections: 100,
  })),
};

beforeAll(async () => {
  await group.start({ entries: ENTRIES });
  await waitUntil(() => group.publish(0, document));
  await waitUntil(() => group.gateways.every((gateway) => gateway.isReady()));
  await startVersion("v1", 0);
  await pause(1000);
  callers = Array.from({ length: CALLERS }, (_, index) => call(index));
}, 60_000);

afterAll(async () => {
  isCalling = false;
  await Promise.all(callers);
  timers.forEach(clearInterval);
  for (const { servers } of versions) {
    servers.forEach((server) => server.closeAllConnections());
    servers.forEach((server) => server.close());
  }
  await group.stop();
}, 30_000);

/** Starts upstreams that send heartbeats until the end of the test. */
async function startVersion(name: string, failures: number): Promise<void> {
  const servers: Server[] = [];
  for (let index = 0; index < UPSTREAMS_PER_VERSION; index += 1) {
    const port = nextPort;
    nextPort += 1;
    servers.push(await startUpstream({ name, failures, port }));
    let sequence = 0;
    const beat = () => {
      sequence += 1;
      const address = `127.0.0.1:${port}`;
      const record = testRecord(`${name}-${index}`, {
        address,
        sequence,
        version: name,
      });
      void group.hubs[sequence % group.hubs.length]?.hub
        ?.mergeUpstream(record).catch(() => {});
    };
    beat();
    timers.push(setInterval(beat, HEARTBEAT_MS));
  }
  versions.push({ name, failures, servers });
}

async function startUpstream(
  { name, failures, port }: { name: string; failures: number; port: number },
): Promise<Server> {
  const server = createServer((message, response) => {
    arrivals.push({ version: name, at: performance.now() });
    const isFailure = Math.random() < failures;
    setTimeout(() => {
      if (isFailure) {
        failedAt.push(performance.now());
      }
      response.writeHead(isFailure ? 500 : 200, {
        "x-attempt": message.headers["x-attempt"],
        "x-digest": "d",
      });
      response.end("table 7");
    }, RUN_TIME_MS);
  });
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.1", resolve)
  );
  return server;
}

async function call(index: number): Promise<void> {
  while (isCalling) {
    const { status } = await group.sendRequest(index % ENTRIES);
    statuses.push(status);
    await pause(20);
  }
}

async function read(hub = 0): Promise<Rollout> {
  const rollout = await group.hubs[hub]!.hub.readRollout("desk");
  if (typeof rollout === "string") {
    throw new Error(`The rollout is ${rollout}.`);
  }
  return rollout;
}

function order(destination: string, hub = 0) {
  return group.hubs[hub]!.hub.startRollout({
    service: "desk",
    destination,
    duration: DURATION_MS,
  });
}

// The tests build on each other and share one deployment under load.
describe("a rollout of a service under load", () => {
  test(
    "of a bad version is reverted, and the version gets few requests",
    async () => {
      const orderedAt = performance.now();
      expect(await order("v2")).toBe("accepted");
      await startVersion("v2", 0.5);
      expect(await order("v2", 1)).toBe("accepted");
      expect(await order("v3", 1)).toBe("conflicting");
      await waitUntil(async () => (await read()).stage === "reverted");
      await pause(DURATION_MS - (performance.now() - orderedAt));
      const during = arrivals.filter(({ at }) => at >= orderedAt);
      const exposed = during.filter(({ version }) => version === "v2");
      expect(failedAt.length).toBeGreaterThanOrEqual(MIN_FAILURES);
      expect(exposed.length).toBeLessThanOrEqual(during.length * 0.1 + 50);
      const shown = await runOperatorTool(FIRST_PORT, ["rollout", "desk"]);
      expect(shown).toMatch(/desk +v2 +reverted .*failures/);
      const counted = failedAt[49] ?? Infinity;
      expect(exposed.every(({ at }) => at <= counted + ROLLBACK_MS)).toBe(true);
    },
    40_000,
  );

  test("stays reverted after a restart of all replicas", async () => {
    const before = await read();
    await Promise.all(group.hubs.map((hub) => hub.stop()));
    await Promise.all(
      group.hubs.map((hub) => hub.start({ isFirstStart: false })),
    );
    await waitUntil(async () =>
      typeof await group.hubs[1]!.hub.readRollout("desk") !== "string"
    );
    expect(await read(1)).toEqual(before);
    const restartedAt = performance.now();
    await pause(2000);
    expect(
      arrivals.filter(({ version, at }) =>
        version === "v2" && at > restartedAt
      ),
    ).toEqual([]);
  }, 40_000);

  test(
    "survives the loss of a disk right after it was acknowledged",
    async () => {
      await waitUntil(async () => await order("v4") === "accepted");
      await group.hubs[0]!.stop();
      group.hubs[0]!.wipe();
      await group.hubs[0]!.start({ isFirstStart: false });
      await waitUntil(async () =>
        typeof await group.hubs[2]!.hub.readRollout("desk") !== "string"
      );
      expect((await read(2)).destination).toBe("v4");
    },
    40_000,
  );

  test("of a good version is completed, and no caller notices", async () => {
    await startVersion("v4", 0);
    // Until a replica that lost its disk has joined again, it answers that no
    // quorum confirms an order.
    await waitUntil(async () =>
      typeof await group.hubs[0]!.hub.readRollout("desk") !== "string"
    );
    const ordered = await runOperatorTool(FIRST_PORT, [
      "rollout-start",
      "desk",
      "v4",
      String(DURATION_MS / 1000),
    ]);
    expect(ordered).toContain("ordered desk to v4");
    const from = statuses.length;
    await waitUntil(async () =>
      ["completed", "reverted"].includes((await read(2)).stage)
    );
    expect(await read(2)).toMatchObject({ stage: "completed" });
    expect(statuses.slice(from).filter((status) => status !== 200)).toEqual([]);
    const completedAt = performance.now();
    await pause(1500);
    const after = arrivals.filter(({ at }) => at > completedAt + 50);
    expect(after.length).toBeGreaterThan(20);
    expect(after.every(({ version }) => version === "v4")).toBe(true);
  }, 40_000);
});

import { createServer, type Server } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { waitUntil } from "./wait_until.ts";
import { testDocument } from "./test_document.ts";
import { TestGroup } from "./test_group.ts";
import { testRecord } from "./test_record.ts";

const FIRST_PORT = 25_500;
const SERVICE_PORT = FIRST_PORT + 50;
const SERVICE_ADDRESS = `127.0.0.1:${SERVICE_PORT}`;
const UPSTREAM_NAME = "desk-1";
/**
 * Time for which an upstream still serves after its departure was acknowledged.
 */
const DRAIN_TIME_MS = 2000;
/** Interval at which upstreams send heartbeats. */
const HEARTBEAT_INTERVAL_MS = 1000;
const REQUEST_INTERVAL_MS = 50;
/**
 * Delay before another entry starts, and time for which requests are observed
 * after that.
 */
const NEW_ENTRY_DELAY_MS = 4000;
const OBSERVATION_TIME_MS = 6000;

const group = new TestGroup(FIRST_PORT);
const { hubs } = group;
/** Monotonic times at which requests reached the upstream. */
const arrivals: number[] = [];
let server: Server;

beforeAll(async () => {
  server = createServer((message, response) => {
    arrivals.push(performance.now());
    response.writeHead(200, {
      "x-attempt": message.headers["x-attempt"],
      "x-digest": "d",
    });
    response.end("table 7");
  });
  await new Promise<void>((resolve) =>
    server.listen(SERVICE_PORT, "127.0.0.1", resolve)
  );
  await group.start({ entries: 2 });
  await waitUntil(() => group.publish(0, testDocument(1)));
});

afterAll(async () => {
  await group.stop();
  server.close();
  server.closeAllConnections();
});

// Guards against losing an acknowledged departure together with the replica
// that received it, so that entries keep using the upstream until its
// heartbeats time out.
test(
  "no request reaches a departed upstream after the replica that acknowledged it crashed",
  async () => {
    let sequence = 0;
    const heartbeat = () =>
      hubs[1]!.hub.mergeUpstream(
        testRecord(UPSTREAM_NAME, {
          address: SERVICE_ADDRESS,
          sequence: sequence += 1,
        }),
      );
    await heartbeat();
    const heartbeatTimer = setInterval(
      () => void heartbeat(),
      HEARTBEAT_INTERVAL_MS,
    );
    for (const index of [0, 1]) {
      await waitUntil(async () =>
        (await group.sendRequest(index)).status === 200
      );
    }
    clearInterval(heartbeatTimer);
    await heartbeat();

    // A starting replica accepts no departure before it is a member.
    await waitUntil(async () =>
      typeof await hubs[3]!.hub.readDocument() !== "string"
    );
    const entries = new Set([0, 1]);
    const sendToEntries = () => {
      for (const index of entries) {
        void group.sendRequest(index).catch(() => {});
      }
    };
    const requestTimer = setInterval(sendToEntries, REQUEST_INTERVAL_MS);
    const outcome = await hubs[3]!.hub.removeUpstream(UPSTREAM_NAME);
    expect(outcome).toEqual({ kind: "accepted" });
    const acknowledgedAt = performance.now();
    await hubs[3]!.crash();
    await pause(NEW_ENTRY_DELAY_MS);
    await group.startEntry(2);
    entries.add(2);
    await pause(OBSERVATION_TIME_MS);
    clearInterval(requestTimer);
    const lastArrival = Math.max(...arrivals) - acknowledgedAt;
    expect(lastArrival).toBeLessThan(DRAIN_TIME_MS);
  },
  40_000,
);

// Guards against a delayed heartbeat that makes a departed upstream eligible
// again after all control replicas restarted at once.
test(
  "a departed upstream stays out of use after all replicas crashed",
  async () => {
    const secondName = "desk-2";
    const record = testRecord(secondName, {
      address: SERVICE_ADDRESS,
      sequence: 1,
    });
    await hubs[3]!.start({ isFirstStart: false });
    await waitUntil(async () =>
      typeof await hubs[3]!.hub.readDocument() !== "string"
    );
    await hubs[0]!.hub.mergeUpstream(record);
    await waitUntil(async () => (await group.sendRequest(0)).status === 200);
    const outcome = await hubs[1]!.hub.removeUpstream(secondName);
    expect(outcome).toEqual({ kind: "accepted" });
    const acknowledgedAt = performance.now();
    await Promise.all(hubs.map((hub) => hub.crash()));
    await Promise.all(hubs.map((hub) => hub.start({ isFirstStart: false })));
    await hubs[2]!.hub.mergeUpstream({ ...record, sequence: 2 });
    const sendOne = () => void group.sendRequest(0).catch(() => {});
    const requestTimer = setInterval(sendOne, REQUEST_INTERVAL_MS);
    await pause(2 * DRAIN_TIME_MS);
    clearInterval(requestTimer);
    const lastArrival = Math.max(...arrivals) - acknowledgedAt;
    expect(lastArrival).toBeLessThan(DRAIN_TIME_MS);
  },
  40_000,
);

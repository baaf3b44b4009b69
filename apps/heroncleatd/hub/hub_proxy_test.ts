import type { Server } from "node:http";
import { waitUntil } from "./wait_until.ts";
import { runOperatorTool } from "./run_operator_tool.ts";
import { startTestService } from "./start_test_service.ts";
import { testDocument } from "./test_document.ts";
import { TestGroup } from "./test_group.ts";
import { testRecord } from "./test_record.ts";

const FIRST_PORT = 25_900;
const SERVICE_PORT = FIRST_PORT + 50;
/** Time until a replica with a new disk votes. */
const CATCH_UP_TIME_MS = 4000;
const SERVICE_ADDRESS = `127.0.0.1:${SERVICE_PORT}`;

const group = new TestGroup(FIRST_PORT, [
  false,
  false,
  false,
  true,
  true,
  true,
]);
const proxies = group.hubs.slice(0, 3);
const replicas = group.hubs.slice(3);
let server: Server;

beforeAll(async () => {
  server = await startTestService(SERVICE_PORT);
  await group.start({ entries: 2 });
});

afterAll(async () => {
  await group.stop();
  server.close();
  server.closeAllConnections();
});

// Guards against a group that can't form because all its seeds are on VMs
// without a disk. The tests build on each other and share one deployment.
describe("a control group whose seeds have no disk", () => {
  test("forms through its seeds and accepts documents sent to them", async () => {
    await waitUntil(() => group.publish(0, testDocument(2)));
    expect(await readSourceAt(1)).toBe(JSON.stringify(testDocument(2)));
    expect(await readSourceAt(4)).toBe(JSON.stringify(testDocument(2)));
    await waitUntil(() => group.gateways.every(({ isReady }) => isReady()));
  });

  test("forwards heartbeats and returns the replica that accepted them", async () => {
    const outcome = await proxies[2]!.hub.mergeUpstream(
      testRecord("desk-1", { address: SERVICE_ADDRESS, sequence: 1 }),
    );
    expect(outcome).toEqual({
      kind: "accepted",
      heldBy: expect.stringMatching(/^127\.0\.0\.1:2590[345]$/),
    });
    for (const index of [0, 1]) {
      await waitUntil(async () =>
        (await group.sendRequest(index)).status === 200
      );
    }
  });

  test("acknowledges forwarded departures once replicas have stored them", async () => {
    const outcome = await proxies[0]!.hub.removeUpstream("desk-1");
    expect(outcome.kind).toBe("accepted");
    for (const index of [0, 1]) {
      await waitUntil(async () =>
        (await group.sendRequest(index)).status === 503
      );
    }
  });

  test("is found again after all seeds restarted at once", async () => {
    await Promise.all(proxies.map((proxy) => proxy.stop()));
    await Promise.all(
      proxies.map((proxy) => proxy.start({ isFirstStart: true })),
    );
    await waitUntil(() => group.publish(2, testDocument(3)));
    expect(await readSourceAt(0)).toBe(JSON.stringify(testDocument(3)));
  });

  test("readmits a replica with an empty disk through its seeds", async () => {
    await replicas[0]!.stop();
    replicas[0]!.wipe();
    await replicas[0]!.start({ isFirstStart: false });
    await waitUntil(async () =>
      await readSourceAt(3) === JSON.stringify(testDocument(3))
    );
  });

  test("shows operators its members and the losses it tolerates", async () => {
    // A readmitted replica serves documents before it votes.
    await waitUntil(async () => {
      const shown = await runOperatorTool(FIRST_PORT, ["replicas"]);
      const isVoter = /hub-3 +zone-3 +127\.0\.0\.1:25903 +(leader|voter)/
        .test(shown);
      expect(shown.includes("Bears the loss of 1 VMs")).toBe(isVoter);
      return isVoter;
    });
  });

  test("tolerates the loss of a replica, and refuses without a quorum", async () => {
    await new Promise((resolve) => setTimeout(resolve, CATCH_UP_TIME_MS));
    await replicas[1]!.crash();
    await waitUntil(() => group.publish(1, testDocument(4)));
    await replicas[2]!.crash();
    await waitUntil(async () => await readSourceAt(1) === "unavailable");
    expect(await group.publish(1, testDocument(5))).toBe(false);
    const outcome = await proxies[1]!.hub.removeUpstream("desk-1");
    expect(outcome.kind).toBe("unavailable");
  });
});

async function readSourceAt(index: number): Promise<string> {
  const read = await group.hubs[index]!.hub.readDocument();
  return typeof read === "string" ? read : read.source;
}

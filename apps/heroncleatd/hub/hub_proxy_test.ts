import type { Server } from "node:http";
import { eventually } from "./eventually.ts";
import { runTool } from "./run_tool.ts";
import { startTestDesk } from "./start_test_desk.ts";
import { documentOf } from "./test_document.ts";
import { TestGroup } from "./test_group.ts";
import { testRecord } from "./test_record.ts";

const FIRST_PORT = 25_900;
const DESK_PORT = FIRST_PORT + 50;
/** Time after which a replica with a new disk votes. */
const CATCH_UP_TIME = 4000;
const DESK = `127.0.0.1:${DESK_PORT}`;

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
let desk: Server;

beforeAll(async () => {
  desk = await startTestDesk(DESK_PORT);
  await group.start({ entries: 2 });
});

afterAll(async () => {
  await group.stop();
  desk.close();
  desk.closeAllConnections();
});

// The second VM of a zone may have no disk, and all seeds may be such VMs: a
// group couldn't be founded then, and the control role ended at once there.
// The tests build on each other: one deployment lives through all of them.
describe("a control group whose seeds have no disk", () => {
  test("is founded through them and takes what is sent to them", async () => {
    await eventually(() => group.publish(0, documentOf(2)));
    expect(await storedAt(1)).toBe(JSON.stringify(documentOf(2)));
    expect(await storedAt(4)).toBe(JSON.stringify(documentOf(2)));
    await eventually(() => group.gateways.every(({ isReady }) => isReady()));
  });

  test("passes heartbeats on and names the replica that took them", async () => {
    const outcome = await proxies[2]!.hub.mergeUpstream(
      testRecord("desk-1", { address: DESK, sequence: 1 }),
    );
    expect(outcome).toEqual({
      kind: "accepted",
      heldBy: expect.stringMatching(/^127\.0\.0\.1:2590[345]$/),
    });
    for (const at of [0, 1]) {
      await eventually(async () => (await group.ask(at)).status === 200);
    }
  });

  test("acknowledges leaves that replicas hold, through them too", async () => {
    const outcome = await proxies[0]!.hub.removeUpstream("desk-1");
    expect(outcome.kind).toBe("accepted");
    for (const at of [0, 1]) {
      await eventually(async () => (await group.ask(at)).status === 503);
    }
  });

  test("is found again when all of them have restarted at once", async () => {
    await Promise.all(proxies.map((proxy) => proxy.stop()));
    await Promise.all(
      proxies.map((proxy) => proxy.start({ isFirstStart: true })),
    );
    await eventually(() => group.publish(2, documentOf(3)));
    expect(await storedAt(0)).toBe(JSON.stringify(documentOf(3)));
  });

  test("takes a replica with an empty disk back through them", async () => {
    await replicas[0]!.stop();
    replicas[0]!.wipe();
    await replicas[0]!.start({ isFirstStart: false });
    await eventually(async () =>
      await storedAt(3) === JSON.stringify(documentOf(3))
    );
  });

  test("is shown to operators with what it can bear", async () => {
    const shown = await runTool(FIRST_PORT, ["replicas"]);
    expect(shown).toMatch(/hub-3 +zone-3 +127\.0\.0\.1:25903 +(leader|voter)/);
    expect(shown).toContain("Bears the loss of 1 VMs");
  });

  test("goes on with a replica lost, and refuses without a quorum", async () => {
    await new Promise((resolve) => setTimeout(resolve, CATCH_UP_TIME));
    await replicas[1]!.lose();
    await eventually(() => group.publish(1, documentOf(4)));
    await replicas[2]!.lose();
    await eventually(async () => await storedAt(1) === "unavailable");
    expect(await group.publish(1, documentOf(5))).toBe(false);
    const outcome = await proxies[1]!.hub.removeUpstream("desk-1");
    expect(outcome.kind).toBe("unavailable");
  });
});

async function storedAt(at: number): Promise<string> {
  const read = await group.hubs[at]!.hub.readDocument();
  return typeof read === "string" ? read : read.source;
}

import type { Server } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { eventually } from "./eventually.ts";
import type { RunningHub } from "./running_hub.ts";
import { startTestDesk } from "./start_test_desk.ts";
import { documentOf } from "./test_document.ts";
import { TestGroup } from "./test_group.ts";
import { testRecord } from "./test_record.ts";

const FIRST_PORT = 25_300;
const DESK_PORT = FIRST_PORT + 50;
const DESK = `127.0.0.1:${DESK_PORT}`;
/** Time after which a replica with a new disk votes. */
const CATCH_UP_TIME = 4000;

const group = new TestGroup(FIRST_PORT);
const { hubs, gateways } = group;
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

// The tests build on each other: one deployment lives through all of them.
describe("a control group with entries", () => {
  test("forms from its seeds and puts a document in force everywhere", async () => {
    const version2 = documentOf(2);
    await eventually(() => group.publish(3, version2));
    await eventually(() => gateways.every((gateway) => gateway.isReady()));
    expect(await stored(hubs[1]!)).toBe(JSON.stringify(version2));
  });

  test("acknowledges an older version and keeps the newest", async () => {
    expect(await group.publish(0, documentOf(1))).toBe(true);
    expect(await stored(hubs[2]!)).toBe(JSON.stringify(documentOf(2)));
  });

  test("reports every entry of an upstream that one replica received", async () => {
    await hubs[2]!.hub.mergeUpstream(
      testRecord("desk-1", { address: DESK, sequence: 1 }),
    );
    for (const at of [0, 1]) {
      await eventually(async () => (await group.ask(at)).status === 200);
      expect((await group.ask(at)).body).toBe("table 7");
    }
  });

  test("reports each usage window once, with one fencing token a holder", async () => {
    await eventually(() => allReports().some(hasCounts));
    const byWindow = new Map<number, string>();
    for (const { window, counts } of allReports()) {
      const text = JSON.stringify(counts);
      expect(byWindow.get(window) ?? text).toBe(text);
      byWindow.set(window, text);
    }
    const holders = new Map<number, string>();
    for (const { holder } of allReports()) {
      expect(holders.get(holder.fencingToken) ?? holder.name).toBe(holder.name);
      holders.set(holder.fencingToken, holder.name);
    }
  });

  test("sends nothing more to an upstream that says it leaves", async () => {
    await hubs[0]!.hub.removeUpstream("desk-1");
    for (const at of [0, 1]) {
      await eventually(async () => (await group.ask(at)).status === 503);
    }
  });

  test("takes a replica with an empty disk back and loses nothing", async () => {
    await hubs[1]!.stop();
    hubs[1]!.wipe();
    await hubs[1]!.start({ isFirstStart: false });
    await eventually(async () =>
      await stored(hubs[1]!) === JSON.stringify(documentOf(2))
    );
    await eventually(() => group.publish(1, documentOf(5)));
    await pause(CATCH_UP_TIME);
    await hubs[2]!.stop();
    // Three of four are left, one of them with a new disk.
    await eventually(async () =>
      await stored(hubs[1]!) === JSON.stringify(documentOf(5))
    );
  });

  test("neither reads nor accepts a document without a quorum", async () => {
    await hubs[3]!.stop();
    await hubs[0]!.stop();
    await eventually(async () => await stored(hubs[1]!) === "unavailable");
    expect(await group.publish(1, documentOf(9))).toBe(false);
  });

  test("serves what it acknowledged once it is back", async () => {
    await hubs[0]!.start({ isFirstStart: false });
    await hubs[2]!.start({ isFirstStart: false });
    await hubs[3]!.start({ isFirstStart: false });
    await eventually(async () => {
      const text = await stored(hubs[2]!);
      return text === JSON.stringify(documentOf(5)) ||
        text === JSON.stringify(documentOf(9));
    });
  });

  test("entries name each other while no control replica answers", async () => {
    await hubs[0]!.hub.mergeUpstream(
      testRecord("desk-9", { address: DESK, sequence: 1 }),
    );
    await eventually(async () => (await group.ask(0)).status === 200);
    await Promise.all(hubs.map((hub) => hub.stop()));
    // Long enough that updates of the replicas can't be what they name.
    await new Promise((resolve) => setTimeout(resolve, 2500));
    await eventually(() =>
      gateways.every((gateway) => gateway.listEntries().length === 2)
    );
    expect((await group.ask(0)).status).toBe(200);
  });
});

async function stored({ hub }: { hub: RunningHub }): Promise<string> {
  const read = await hub.readDocument();
  return typeof read === "string" ? read : read.source;
}

function allReports() {
  return hubs.flatMap((hub) => hub.reports);
}

function hasCounts(report: { counts: object }): boolean {
  return Object.keys(report.counts).length > 0;
}

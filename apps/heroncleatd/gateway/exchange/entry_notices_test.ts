import { createSocket } from "node:dgram";
import { once } from "node:events";
import { setTimeout as pause } from "node:timers/promises";
import { createSystemClock } from "@heroncleat/base";
import type { EntryNotice } from "@heroncleat/schema";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import { EntryNotices } from "./entry_notices.ts";

const PORT = 21_000 + process.pid % 2000;
const logged: string[] = [];
const warned: string[] = [];
const silentLog: Log = {
  debug: () => {},
  info: () => {},
  warn: (message) => void warned.push(message),
  error: (message) => void logged.push(message),
};
const dispatch: EntryNotice = {
  kind: "dispatch",
  upstream: "u1",
  readTime: 400,
  tokens: 20_000,
  parts: ["menu"],
};
const charges: EntryNotice = {
  kind: "charges",
  entry: "entry-b",
  boot: "1",
  spent: { inn: 40 },
  isOpen: true,
  wantsAnswer: false,
};

type TestEntry = {
  readonly notices: EntryNotices;
  readonly received: { notice: EntryNotice; from: string }[];
  readonly counts: Record<string, number>;
};

const openNotices: EntryNotices[] = [];

function start(
  host: string,
  peers: readonly string[],
  onNotice: () => void = () => {},
): TestEntry {
  const received: TestEntry["received"] = [];
  const counts: Record<string, number> = {};
  const metrics: Metrics = {
    increment: (name, by = 1) => counts[name] = (counts[name] ?? 0) + by,
    gauge: () => {},
    timing: () => {},
    close: () => {},
  };
  const notices = new EntryNotices({
    address: `${host}:${PORT}`,
    peers: () => peers,
    onNotice: (notice, from) => {
      onNotice();
      received.push({ notice, from });
    },
    clock: createSystemClock(),
    log: silentLog,
    metrics,
  });
  openNotices.push(notices);
  return { notices, received, counts };
}

async function until(
  isTrue: () => boolean,
  { timeout = 5000 } = {},
): Promise<void> {
  const endAt = Date.now() + timeout;
  while (!isTrue() && Date.now() < endAt) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

afterEach(() => {
  warned.splice(0);
  for (const notices of openNotices.splice(0)) {
    notices.close();
  }
});

describe("datagrams between entries", () => {
  test("reach all other entries, and a reply reaches the sender", async () => {
    const left = start("127.0.0.2", ["127.0.0.3"]);
    const right = start("127.0.0.3", []);
    left.notices.broadcast(dispatch);
    await until(() => right.received.length > 0);
    expect(right.received).toEqual([{ notice: dispatch, from: "127.0.0.2" }]);
    right.notices.reply(charges, right.received[0]!.from);
    await until(() => left.received.length > 0);
    expect(left.received).toEqual([{ notice: charges, from: "127.0.0.3" }]);
  });

  test("that can't be parsed are counted and ignored", async () => {
    const entry = start("127.0.0.4", []);
    const sender = createSocket("udp4");
    const invalid = [
      "no json",
      "{}",
      JSON.stringify({ ...dispatch, readTime: -1 }),
      JSON.stringify({ ...charges, spent: { inn: "many" } }),
      JSON.stringify({ ...dispatch, extra: 1 }),
      JSON.stringify({ kind: "suspects", suspects: [] }),
      JSON.stringify({ kind: "suspects", suspects: [{ request: "r" }] }),
    ];
    for (const text of invalid) {
      sender.send(text, PORT, "127.0.0.4");
    }
    const count = () => entry.counts["entry_notices.unreadable"] ?? 0;
    await until(() => count() === invalid.length);
    sender.close();
    expect(count()).toBe(invalid.length);
    expect(entry.received).toEqual([]);
  });

  // Guards against an entry that one datagram ends.
  test("that can't be applied are counted and logged, few of them", async () => {
    const entry = start("127.0.0.10", [], () => {
      throw new Error("can't apply it");
    });
    const uncaught: unknown[] = [];
    const record = (error: unknown) => void uncaught.push(error);
    process.on("uncaughtException", record);
    const sender = createSocket("udp4");
    for (let index = 0; index < 50; index += 1) {
      sender.send(JSON.stringify(dispatch), PORT, "127.0.0.10");
    }
    const count = () => entry.counts["entry_notices.unapplied"] ?? 0;
    await until(() => count() === 50 || uncaught.length > 0);
    sender.close();
    process.off("uncaughtException", record);
    expect(uncaught).toEqual([]);
    expect(count()).toBe(50);
    expect(logged.length).toBeGreaterThan(0);
    expect(logged.length).toBeLessThan(10);
  });

  // Guards against a host that takes an entry's time with datagrams.
  test("of hosts that aren't entries are read up to a rate", async () => {
    const entry = start("127.0.0.11", ["127.0.0.12"]);
    const send = async (host: string) => {
      const sender = createSocket("udp4");
      await new Promise<void>((resolve) => sender.bind(0, host, resolve));
      const text = JSON.stringify(charges).padEnd(60_000, " ");
      const before = entry.received.length;
      for (let index = 0; index < 200; index += 1) {
        await new Promise((resolve) =>
          sender.send(text, PORT, "127.0.0.11", resolve)
        );
        await new Promise((resolve) => setTimeout(resolve, 1));
      }
      sender.close();
      return entry.received.length - before;
    };
    const overBudget = () =>
      entry.counts["entry_notices.strangers_over_budget"] ?? 0;
    expect(await send("127.0.0.12")).toBeGreaterThan(190);
    expect(overBudget()).toBe(0);
    expect(await send("127.0.0.13")).toBeLessThan(150);
    expect(overBudget()).toBeGreaterThan(50);
    expect(await send("127.0.0.12")).toBeGreaterThan(190);
  });

  test("beyond the rate limit are counted and not sent", () => {
    const peers = Array.from({ length: 100 }, () => "127.0.0.9");
    const entry = start("127.0.0.5", peers);
    for (let sent = 0; sent < 12; sent += 1) {
      entry.notices.broadcast(dispatch);
    }
    expect(entry.counts["entry_notices.over_budget"]).toBeGreaterThanOrEqual(3);
  });

  test("about streams are sent although others that yield are beyond the limit", async () => {
    const entry = start("127.0.0.5", []);
    const other = start("127.0.0.8", []);
    const overBudget = () => entry.counts["entry_notices.over_budget"] ?? 0;
    while (overBudget() < 3) {
      entry.notices.sendOfStream(dispatch, { host: "127.0.0.9", reserve: 0.5 });
    }
    entry.notices.sendOfStream(charges, { host: "127.0.0.8", reserve: 0 });
    await until(() => other.received.length > 0);
    expect(other.received).toEqual([{ notice: charges, from: "127.0.0.5" }]);
  });

  // Guards against an entry that never hears others as its predecessor still ran.
  test("are received once the port is free, and sent from no other one", async () => {
    const previous = createSocket("udp4").bind(PORT, "127.0.0.14");
    await once(previous, "listening");
    const other = start("127.0.0.15", ["127.0.0.14"]);
    const entry = start("127.0.0.14", ["127.0.0.15"]);
    await until(() => warned.some((line) => line.includes("in use")));
    entry.notices.broadcast(dispatch);
    expect(entry.counts["entry_notices.failed"]).toBe(1);
    previous.close();
    await until(() => {
      other.notices.broadcast(charges);
      return entry.received.length > 0;
    });
    expect(entry.received[0]).toEqual({ notice: charges, from: "127.0.0.15" });
    entry.notices.broadcast(charges);
    await until(() => other.received.length > 0);
    expect(other.received).toEqual([{ notice: charges, from: "127.0.0.14" }]);
    expect(warned).toHaveLength(1);
  });

  test("aren't received from a port that stays in use, which is logged", async () => {
    const previous = createSocket("udp4").bind(PORT, "127.0.0.16");
    await once(previous, "listening");
    start("127.0.0.16", []);
    await until(() => warned.length === 2, { timeout: 12_000 });
    expect(warned).toEqual([
      expect.stringContaining("in use"),
      expect.stringContaining("Datagrams between entries failed"),
    ]);
    previous.close();
  });

  test("aren't received after closing while the port is in use", async () => {
    const previous = createSocket("udp4").bind(PORT, "127.0.0.17");
    await once(previous, "listening");
    const { notices } = start("127.0.0.17", []);
    await until(() => warned.length > 0);
    notices.close();
    openNotices.splice(openNotices.indexOf(notices), 1);
    previous.close();
    await pause(200);
    const next = createSocket("udp4").bind(PORT, "127.0.0.17");
    await once(next, "listening");
    next.close();
    expect(warned).toHaveLength(1);
  });

  test("aren't sent after closing", () => {
    const entry = start("127.0.0.6", ["127.0.0.7"]);
    entry.notices.close();
    openNotices.splice(openNotices.indexOf(entry.notices), 1);
    expect(() => entry.notices.broadcast(dispatch)).not.toThrow();
  });
});

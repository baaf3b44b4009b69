import { createSocket } from "node:dgram";
import { createSystemClock } from "@heroncleat/base";
import type { EntryNotice } from "@heroncleat/schema";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import { EntryNews } from "./entry_news.ts";

const PORT = 21_000 + process.pid % 2000;
const silent: Log = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
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

type Side = {
  readonly news: EntryNews;
  readonly heard: { notice: EntryNotice; from: string }[];
  readonly counts: Record<string, number>;
};

const open: EntryNews[] = [];

function start(host: string, peers: readonly string[]): Side {
  const heard: Side["heard"] = [];
  const counts: Record<string, number> = {};
  const metrics: Metrics = {
    increment: (name, by = 1) => counts[name] = (counts[name] ?? 0) + by,
    gauge: () => {},
    timing: () => {},
    close: () => {},
  };
  const news = new EntryNews({
    address: `${host}:${PORT}`,
    peers: () => peers,
    onNotice: (notice, from) => heard.push({ notice, from }),
    clock: createSystemClock(),
    log: silent,
    metrics,
  });
  open.push(news);
  return { news, heard, counts };
}

async function until(isTrue: () => boolean): Promise<void> {
  const endAt = Date.now() + 5000;
  while (!isTrue() && Date.now() < endAt) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

afterEach(() => {
  for (const news of open.splice(0)) {
    news.close();
  }
});

describe("datagrams between entries", () => {
  test("reach all others, and an answer reaches the one that asked", async () => {
    const left = start("127.0.0.2", ["127.0.0.3"]);
    const right = start("127.0.0.3", []);
    left.news.tell(dispatch);
    await until(() => right.heard.length > 0);
    expect(right.heard).toEqual([{ notice: dispatch, from: "127.0.0.2" }]);
    right.news.answer(charges, right.heard[0]!.from);
    await until(() => left.heard.length > 0);
    expect(left.heard).toEqual([{ notice: charges, from: "127.0.0.3" }]);
  });

  test("that can't be read are counted and change nothing", async () => {
    const side = start("127.0.0.4", []);
    const sender = createSocket("udp4");
    const foreign = [
      "no json",
      "{}",
      JSON.stringify({ ...dispatch, readTime: -1 }),
      JSON.stringify({ ...charges, spent: { inn: "many" } }),
      JSON.stringify({ ...dispatch, extra: 1 }),
    ];
    for (const text of foreign) {
      sender.send(text, PORT, "127.0.0.4");
    }
    const count = () => side.counts["entry_notices.unreadable"] ?? 0;
    await until(() => count() === foreign.length);
    sender.close();
    expect(count()).toBe(foreign.length);
    expect(side.heard).toEqual([]);
  });

  test("beyond the budget aren't sent, but counted", () => {
    const peers = Array.from({ length: 100 }, () => "127.0.0.9");
    const side = start("127.0.0.5", peers);
    for (let sent = 0; sent < 12; sent += 1) {
      side.news.tell(dispatch);
    }
    expect(side.counts["entry_notices.over_budget"]).toBeGreaterThanOrEqual(3);
  });

  test("aren't sent any more once they are closed", () => {
    const side = start("127.0.0.6", ["127.0.0.7"]);
    side.news.close();
    open.splice(open.indexOf(side.news), 1);
    expect(() => side.news.tell(dispatch)).not.toThrow();
  });
});

import {
  documentCodec,
  Hub,
  STREAM_RETENTION,
  type SyncRequest,
} from "./mod.ts";
import { testRecord } from "./test_record.ts";

const context = { document: undefined, controls: [], isLeading: true };
const request = (
  name: string,
  part: Partial<SyncRequest> = {},
): SyncRequest => ({
  entry: {
    name,
    boot: `${name}-1`,
    address: `${name}:80`,
    zone: "a",
    region: "r",
    isOpen: true,
  },
  wall: 1_000_000,
  feed: "",
  revision: 0,
  documentVersion: -1,
  spent: {},
  readWork: {},
  readingSpeeds: {},
  loads: {},
  usage: {},
  ...part,
});
const record = testRecord();

describe("the hub", () => {
  test("sends an entry only what changed since its last request", () => {
    const hub = new Hub("f");
    hub.mergeUpstream(record, 0);
    const first = hub.sync(request("a"), { ...context, now: 0 });
    expect(first.upstreams.map(({ id }) => id)).toEqual(["u1"]);
    const since = { feed: first.feed, revision: first.revision };
    const again = hub.sync(request("a", since), { ...context, now: 100 });
    expect(again.upstreams).toEqual([]);
    hub.removeUpstream("u1", 150);
    const last = hub.sync(request("a", since), { ...context, now: 200 });
    expect(last.upstreams[0]?.state).toBe("gone");
  });

  // Guards against streams resumed at another version than that of an upstream
  // that is silent, but still gets new ones.
  test("lists the version of an upstream as long as the upstream, and its streams", () => {
    const hub = new Hub("f");
    hub.mergeUpstream({ ...record, version: "v2" }, 0);
    const versionsAt = (now: number) => {
      hub.expire(now);
      const { versions } = hub.sync(request("a"), { ...context, now });
      return versions?.versions[record.service] ?? [];
    };
    let listedUntil = 0;
    for (let now = 0; now <= 100_000; now += 1000) {
      hub.expire(now);
      listedUntil = hub.directory.get(record.id) === undefined
        ? listedUntil
        : now;
    }
    expect(listedUntil).toBeGreaterThan(50_000);
    expect(versionsAt(listedUntil + STREAM_RETENTION)).toEqual(["v2"]);
    expect(versionsAt(listedUntil + 2 * STREAM_RETENTION)).toEqual([]);
  });

  test("sends the record again when an upstream is no longer cold", () => {
    const hub = new Hub("f");
    hub.mergeUpstream({ ...record, isCold: true }, 0);
    const first = hub.sync(request("a"), { ...context, now: 0 });
    hub.mergeUpstream({ ...record, sequence: 2, isCold: false }, 900);
    const since = { feed: first.feed, revision: first.revision };
    const next = hub.sync(request("a", since), { ...context, now: 1000 });
    expect(next.upstreams.map(({ isCold }) => isCold)).toEqual([false]);
  });

  test("sends everything to an entry that followed another process", () => {
    const hub = new Hub("f");
    hub.mergeUpstream(record, 0);
    const since = { feed: "before", revision: 99 };
    const reply = hub.sync(request("a", since), { ...context, now: 0 });
    expect(reply.upstreams.length).toBe(1);
  });

  test("sums the others' charges, including those of earlier processes", () => {
    const hub = new Hub("f");
    const charge = (amount: number, now: number) =>
      hub.sync(request("a", { spent: { inn: amount } }), { ...context, now });
    charge(0, 0);
    charge(10, 50);
    const restarted = request("a", { spent: { inn: 3 } });
    hub.sync(
      { ...restarted, entry: { ...restarted.entry, boot: "a-2" } },
      { ...context, now: 100 },
    );
    const reply = hub.sync(request("b"), { ...context, now: 200 });
    expect(reply.spentByOthers).toEqual({ inn: 13 });
  });

  test("doesn't count what was charged before an entry's first report", () => {
    const hub = new Hub("f");
    const charge = (amount: number, now: number) =>
      hub.sync(request("a", { spent: { inn: amount } }), { ...context, now });
    charge(1_000_000, 0);
    charge(1_000_007, 100);
    const reply = hub.sync(request("b"), { ...context, now: 200 });
    expect(reply.spentByOthers).toEqual({ inn: 7 });
  });

  test("reserves a share of the quotas for unresponsive entries", () => {
    const hub = new Hub("f");
    hub.sync(request("a"), { ...context, now: 0 });
    const reply = hub.sync(request("b"), { ...context, now: 5000 });
    expect(reply.shared?.quotaShare).toBe(0.5);
  });

  // Callers get the lists of all replicas where there are few entries, and that
  // of the primary where there are many.
  test.each([
    [12, 1200],
    [40, 3000],
  ])("of %i entries unlists those with short exchanges after %i ms", (
    count,
    timeout,
  ) => {
    const hub = new Hub("f");
    for (let index = 0; index < count; index += 1) {
      hub.sync(request(`e${index}`, { loads: undefined }), {
        ...context,
        now: 0,
      });
    }
    expect(hub.listOpenEntries(timeout - 1)).toHaveLength(count);
    expect(hub.listOpenEntries(timeout + 100)).toEqual([]);
  });

  test("unlists an entry with full exchanges after 1200 ms, however many there are", () => {
    const hub = new Hub("f");
    for (let index = 0; index < 40; index += 1) {
      hub.sync(request(`e${index}`), { ...context, now: 0 });
    }
    expect(hub.listOpenEntries(1300)).toEqual([]);
  });

  test("lists no entry that is unresponsive or closed", () => {
    const hub = new Hub("f");
    hub.sync(request("a"), { ...context, now: 0 });
    const closed = request("b");
    hub.sync(
      { ...closed, entry: { ...closed.entry, isOpen: false } },
      { ...context, now: 3000 },
    );
    hub.sync(request("c"), { ...context, now: 3000 });
    expect(hub.listOpenEntries(3000).map(({ name }) => name)).toEqual(["c"]);
  });

  test("takes the median of the entries' clocks", () => {
    const hub = new Hub("f");
    for (
      const [name, wall] of [["a", 5000], ["b", 5010], ["c", 9000]] as const
    ) {
      hub.sync(request(name, { wall }), { ...context, now: 0 });
    }
    expect(hub.estimateWallTime(100)).toBe(5110);
  });

  test("sends unchanged heartbeats by number, and only in full exchanges", () => {
    const hub = new Hub("f");
    hub.mergeUpstream(record, 0);
    const { feed, revision } = hub.sync(request("a"), { ...context, now: 0 });
    hub.mergeUpstream({ ...record, sequence: 2 }, 100);
    const since = { feed, revision };
    const full = hub.sync(request("a", since), { ...context, now: 200 });
    expect(full.upstreams).toEqual([]);
    expect(full.shared?.beats).toEqual({ u1: 2 });
    const short = request("a", { ...since, loads: undefined });
    const reply = hub.sync(short, { ...context, now: 300 });
    expect(reply.shared).toBeUndefined();
    hub.mergeUpstream({ ...record, sequence: 3, state: "draining" }, 400);
    expect(hub.sync(short, { ...context, now: 500 }).upstreams.length).toBe(1);
  });

  test("lists the open entries only when the list has changed", () => {
    const hub = new Hub("f");
    hub.sync(request("a"), { ...context, now: 0 });
    const first = hub.sync(request("b"), { ...context, now: 100 });
    expect(first.entries?.map(({ name }) => name)).toEqual(["a", "b"]);
    const { feed, revision } = first;
    const since = { feed, revision };
    const same = hub.sync(request("b", since), { ...context, now: 200 });
    expect(same.entries).toBeUndefined();
    hub.sync(request("c"), { ...context, now: 300 });
    const next = hub.sync(request("b", since), { ...context, now: 400 });
    expect(next.entries?.length).toBe(3);
  });

  test("counts charges of short exchanges", () => {
    const hub = new Hub("f");
    const spent = { inn: 7 };
    const short = request("a", { spent, loads: undefined });
    hub.sync(request("a"), { ...context, now: 0 });
    hub.sync(short, { ...context, now: 5 });
    const reply = hub.sync(request("b"), { ...context, now: 10 });
    expect(reply.spentByOthers).toEqual(spent);
  });
});

test("a replica isolated with one entry soon hands out one share", () => {
  const hub = new Hub("f");
  for (const name of ["a", "b", "c", "d"]) {
    hub.sync(request(name), { ...context, now: 0 });
  }
  const shareAt = (now: number) =>
    hub.sync(request("a"), { ...context, now }).shared?.quotaShare;
  expect(shareAt(300)).toBe(1);
  expect(shareAt(700)).toBe(0.25);
});

describe("a large configuration document", () => {
  const source = JSON.stringify(
    Array.from({ length: 1400 }, (_, index) => ({
      name: `r-${index}`,
      host: "inn.example",
      prefix: `/p${index}/`,
      kind: "streaming",
      timeout: 15_000,
      latencyObjective: 800,
      service: "writers",
      maxAttempts: 2,
    })),
  );

  // Guards against documents so large that their transfer exceeds the timeout
  // of an exchange on slow links and that pending replies fill the replicas'
  // memory.
  test("is encoded in a twentieth of its bytes and decoded unchanged", () => {
    const hub = new Hub("f");
    const reported = hub.sync(request("a", { documentVersion: 3 }), {
      ...context,
      document: { version: 4, source },
      now: 0,
    }).document!;
    expect(reported.length).toBeLessThan(source.length / 20 + 500);
    expect(documentCodec.decode(reported)).toBe(source);
    const upToDate = hub.sync(request("a", { documentVersion: 4 }), {
      ...context,
      document: { version: 4, source },
      now: 100,
    });
    expect(upToDate.document).toBeUndefined();
  });

  test("is encoded again for another version", () => {
    const hub = new Hub("f");
    const report = (version: number, text: string) =>
      documentCodec.decode(
        hub.sync(request("a"), {
          ...context,
          document: { version, source: text },
          now: 0,
        }).document!,
      );
    expect(report(4, source)).toBe(source);
    expect(report(5, "{}")).toBe("{}");
    expect(report(4, source)).toBe(source);
  });

  test("is accepted uncompressed", () => {
    expect(documentCodec.decode('{"version":1}')).toBe('{"version":1}');
  });
});

import fc from "fast-check";
import {
  CounterReport,
  Hub,
  type KnownEntry,
  type SyncReply,
  type SyncRequest,
  type UpstreamLoad,
} from "./mod.ts";

const NAMES = ["a", "b", "c"];
const BUCKETS = ["inn", "bar"];
const UPSTREAMS = ["u1", "u2"];
const STEP = 40;

/** How an exchange goes. */
type Way = "whole" | "request_lost" | "reply_lost";

/** An entry that follows a replica by changes alone. */
class Follower {
  readonly name: string;
  boot = 1;
  spent: Record<string, number> = {};
  loads: Record<string, UpstreamLoad> = {};
  isOpen = true;
  feed = "";
  revision = 0;
  loadsSince = 0;
  report = new CounterReport();
  others: Record<string, number> = {};
  loadsOfOthers = new Map<string, UpstreamLoad>();
  entries = new Map<string, KnownEntry>();

  constructor(name: string) {
    this.name = name;
  }

  restart(): void {
    this.boot += 1;
    this.spent = {};
    this.loads = {};
    this.feed = "";
    this.revision = 0;
    this.loadsSince = 0;
    this.report = new CounterReport();
    this.others = {};
    this.loadsOfOthers.clear();
    this.entries.clear();
  }

  describe(): SyncRequest {
    return {
      entry: {
        name: this.name,
        boot: `${this.name}-${this.boot}`,
        address: `${this.name}:80`,
        zone: "a",
        region: "r",
        isOpen: this.isOpen,
      },
      wall: 0,
      feed: this.feed,
      revision: this.revision,
      takesChanges: true,
      loadsSince: this.loadsSince,
      documentVersion: -1,
      ...this.report.build(this.feed, {
        spent: { ...this.spent },
        readWork: {},
        usage: {},
      }),
      readingSpeeds: {},
      loads: { ...this.loads },
    };
  }

  learn(reply: SyncReply): void {
    this.report.handleReply(reply);
    this.feed = reply.feed;
    this.revision = reply.revision;
    this.loadsSince = reply.revision;
    Object.assign(this.others, reply.spentByOthers);
    if (!reply.shared!.areLoadsPartial) {
      this.loadsOfOthers.clear();
    }
    for (const [id, load] of Object.entries(reply.shared!.loadsOfOthers)) {
      this.loadsOfOthers.set(id, load);
    }
    if (reply.entries !== undefined) {
      this.entries.clear();
    }
    const { entryChanges } = reply;
    for (const entry of reply.entries ?? entryChanges?.opened ?? []) {
      this.entries.set(entry.name, entry);
    }
    for (const name of entryChanges?.closed ?? []) {
      this.entries.delete(name);
    }
  }
}

/** Three entries and a replica; what arrived there is known exactly. */
class Group {
  hub = new Hub("feed-1");
  now = 0;
  #feeds = 1;
  readonly followers = NAMES.map((name) => new Follower(name));
  /** Totals that arrived, and those from which the replica counts. */
  #arrived = new Map<string, { spent: Record<string, number> }>();
  #before = new Map<string, Record<string, number>>();
  #counted: Record<string, number> = {};

  exchange(follower: Follower, way: Way): void {
    this.now += STEP;
    const request = structuredClone(follower.describe());
    if (way === "request_lost") {
      follower.report.handleFailure();
      return;
    }
    const reply = structuredClone(this.hub.sync(request, {
      now: this.now,
      document: undefined,
      controls: [],
      isLeading: true,
    }));
    if (!reply.needsWhole) {
      this.#noteArrival(follower);
    }
    if (way === "reply_lost") {
      follower.report.handleFailure();
      return;
    }
    follower.learn(reply);
  }

  /** Starts the replica anew; it knows nothing any more. */
  restartReplica(): void {
    this.#feeds += 1;
    this.hub = new Hub(`feed-${this.#feeds}`);
    this.#arrived.clear();
    this.#before.clear();
    this.#counted = {};
  }

  /** Lets the replica forget who is silent. */
  passTime(milliseconds: number): void {
    this.now += milliseconds;
    this.hub.expire(this.now);
    if (milliseconds > 30_000) {
      for (const [name, { spent }] of this.#arrived) {
        this.#count(name, spent);
      }
      this.#arrived.clear();
      this.#before.clear();
    }
  }

  /** All that the replica should have counted, by bucket. */
  expected(): Record<string, number> {
    const sums = { ...this.#counted };
    for (const [name, { spent }] of this.#arrived) {
      for (const [bucket, total] of Object.entries(spent)) {
        const before = this.#before.get(name)?.[bucket] ?? 0;
        sums[bucket] = (sums[bucket] ?? 0) + total - before;
      }
    }
    return sums;
  }

  #noteArrival(follower: Follower): void {
    const { name, boot, spent } = follower;
    const key = `${name}-${boot}`;
    const earlier = [...this.#arrived.keys()]
      .find((each) => each.startsWith(`${name}-`) && each !== key);
    const isFirst = !this.#arrived.has(key) && earlier === undefined;
    if (earlier !== undefined) {
      this.#count(earlier, this.#arrived.get(earlier)!.spent);
      this.#arrived.delete(earlier);
      this.#before.delete(earlier);
    }
    if (isFirst) {
      this.#before.set(key, { ...spent });
    }
    this.#arrived.set(key, { spent: { ...spent } });
  }

  #count(key: string, spent: Record<string, number>): void {
    for (const [bucket, total] of Object.entries(spent)) {
      const before = this.#before.get(key)?.[bucket] ?? 0;
      this.#counted[bucket] = (this.#counted[bucket] ?? 0) + total - before;
    }
  }
}

const way = fc.constantFrom<Way>(
  "whole",
  "whole",
  "request_lost",
  "reply_lost",
);
const step = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant("exchange"), way }) },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("spend"),
      bucket: fc.constantFrom(...BUCKETS),
      amount: fc.integer({ min: -3, max: 9 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("load"),
      upstream: fc.constantFrom(...UPSTREAMS),
      requests: fc.nat(3),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart") }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("open") }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart_replica") }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("pass"),
      time: fc.constantFrom(100, 1300, 31_000),
    }),
  },
);

type Step = {
  kind: string;
  way?: Way;
  bucket?: string;
  amount?: number;
  upstream?: string;
  requests?: number;
  time?: number;
};

function apply(group: Group, follower: Follower, step: Step): void {
  const { kind, bucket, upstream } = step;
  if (kind === "exchange") {
    group.exchange(follower, step.way!);
  } else if (kind === "spend") {
    // What is charged may be given back.
    follower.spent[bucket!] = (follower.spent[bucket!] ?? 0) + step.amount!;
  } else if (kind === "load") {
    follower.loads[upstream!] = { requests: step.requests!, backlog: 0 };
  } else if (kind === "restart") {
    follower.restart();
  } else if (kind === "open") {
    follower.isOpen = !follower.isOpen;
  } else if (kind === "restart_replica") {
    group.restartReplica();
  } else {
    group.passTime(step.time!);
  }
}

// Each exchange summed charges and loads over all entries and sent all of them,
// and each opening was sent as a whole list: at 200 entries a control replica
// spent a third of a core on it. By changes, sums must come out as before.
describe("an exchange by changes", () => {
  test("reports what a whole one would, whatever is lost or starts again", () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(NAMES.length - 1), step), { maxLength: 80 }),
        (steps) => {
          const group = new Group();
          for (const [place, each] of steps) {
            apply(group, group.followers[place]!, each as Step);
          }
          // A copy that differs is found by one exchange and healed by the
          // next.
          for (let turn = 0; turn < 3; turn += 1) {
            for (const follower of group.followers) {
              group.exchange(follower, "whole");
            }
          }
          const expected = group.expected();
          const observer = new Follower("observer");
          group.exchange(observer, "whole");
          for (const bucket of BUCKETS) {
            expect(observer.others[bucket] ?? 0).toBe(expected[bucket] ?? 0);
          }
          for (const follower of group.followers) {
            group.exchange(follower, "whole");
            expectSameAsWhole(group, follower);
          }
        },
      ),
      { numRuns: 400, seed: 5 },
    );
  });
});

/** Compares what a follower put together with one that asks for all. */
function expectSameAsWhole(group: Group, follower: Follower): void {
  const { name, boot, spent, loads, isOpen } = follower;
  const other = new Follower(name);
  Object.assign(other, { boot, spent, loads, isOpen });
  group.exchange(other, "whole");
  for (const bucket of BUCKETS) {
    expect(follower.others[bucket] ?? 0).toBe(other.others[bucket] ?? 0);
  }
  for (const id of UPSTREAMS) {
    expect(follower.loadsOfOthers.get(id)?.requests ?? 0)
      .toBe(other.loadsOfOthers.get(id)?.requests ?? 0);
  }
  const names = (each: Follower) => [...each.entries.keys()].sort();
  expect(names(follower)).toEqual(names(other));
}

test("a replica whose copy differs asks for all, counts it and is right again", () => {
  const group = new Group();
  const [first, second] = group.followers as [Follower, Follower];
  group.exchange(first, "whole");
  first.spent["inn"] = 5;
  group.exchange(first, "whole");
  // The entry takes for acknowledged what never arrived.
  first.spent["inn"] = 9;
  first.report.build(first.feed, {
    spent: { ...first.spent },
    readWork: {},
    usage: {},
  });
  first.report.handleReply({ feed: first.feed, takesPartial: true });
  group.exchange(first, "whole");
  expect(group.hub.divergences).toBe(1);
  group.exchange(first, "whole");
  group.exchange(second, "whole");
  expect(group.hub.divergences).toBe(1);
  expect(second.others["inn"]).toBe(9);
});

test("an entry or replica of an older release exchanges all", () => {
  const hub = new Hub("f");
  const context = {
    now: 0,
    document: undefined,
    controls: [],
    isLeading: true,
  };
  const observer = new Follower("observer");
  const {
    takesChanges: _,
    loadsSince: __,
    isPartial: ___,
    digest: ____,
    ...old
  } = new Follower("old").describe();
  hub.sync({ ...old, spent: { inn: 0 } }, context);
  hub.sync({ ...old, spent: { inn: 4, bar: 2 } }, { ...context, now: 100 });
  const reply = hub.sync(observer.describe(), { ...context, now: 200 });
  expect(reply.spentByOthers).toEqual({ inn: 4, bar: 2 });
  const again = hub.sync(
    { ...old, feed: "f", revision: hub.revision },
    { ...context, now: 300 },
  );
  expect(again.shared?.areLoadsPartial).toBeUndefined();
  const report = new CounterReport();
  const counters = { spent: { inn: 4 }, readWork: {}, usage: {} };
  report.build("f", counters);
  report.handleReply({ feed: "f" });
  expect(report.build("f", counters).isPartial).toBe(false);
});

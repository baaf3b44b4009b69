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

/** Which messages of an exchange are delivered. */
type Delivery = "complete" | "request_lost" | "reply_lost";

/** An entry that accepts changes from a replica. */
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
  chargesOfOthers: Record<string, number> = {};
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
    this.chargesOfOthers = {};
    this.loadsOfOthers.clear();
    this.entries.clear();
  }

  buildRequest(): SyncRequest {
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

  applyReply(reply: SyncReply): void {
    this.report.handleReply(reply);
    this.feed = reply.feed;
    this.revision = reply.revision;
    this.loadsSince = reply.revision;
    Object.assign(this.chargesOfOthers, reply.spentByOthers);
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

/** Three entries and a replica, with the expected state of the replica. */
class Group {
  hub = new Hub("feed-1");
  now = 0;
  #feedCount = 1;
  readonly followers = NAMES.map((name) => new Follower(name));
  /**
   * Totals that the replica received, and the baselines that it counts from.
   */
  #received = new Map<string, { spent: Record<string, number> }>();
  #baselines = new Map<string, Record<string, number>>();
  #counted: Record<string, number> = {};

  exchange(follower: Follower, delivery: Delivery): void {
    this.now += STEP;
    const request = structuredClone(follower.buildRequest());
    if (delivery === "request_lost") {
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
      this.#recordArrival(follower);
    }
    if (delivery === "reply_lost") {
      follower.report.handleFailure();
      return;
    }
    follower.applyReply(reply);
  }

  /** Restarts the replica, which loses its state. */
  restartReplica(): void {
    this.#feedCount += 1;
    this.hub = new Hub(`feed-${this.#feedCount}`);
    this.#received.clear();
    this.#baselines.clear();
    this.#counted = {};
  }

  /**
   * Lets time pass, after which the replica may remove unresponsive entries.
   */
  passTime(milliseconds: number): void {
    this.now += milliseconds;
    this.hub.expire(this.now);
    if (milliseconds > 30_000) {
      for (const [name, { spent }] of this.#received) {
        this.#addCharges(name, spent);
      }
      this.#received.clear();
      this.#baselines.clear();
    }
  }

  /** The charges that the replica should have counted, by bucket. */
  expected(): Record<string, number> {
    const sums = { ...this.#counted };
    for (const [name, { spent }] of this.#received) {
      for (const [bucket, total] of Object.entries(spent)) {
        const before = this.#baselines.get(name)?.[bucket] ?? 0;
        sums[bucket] = (sums[bucket] ?? 0) + total - before;
      }
    }
    return sums;
  }

  #recordArrival(follower: Follower): void {
    const { name, boot, spent } = follower;
    const key = `${name}-${boot}`;
    const earlier = [...this.#received.keys()]
      .find((each) => each.startsWith(`${name}-`) && each !== key);
    const isFirst = !this.#received.has(key) && earlier === undefined;
    if (earlier !== undefined) {
      this.#addCharges(earlier, this.#received.get(earlier)!.spent);
      this.#received.delete(earlier);
      this.#baselines.delete(earlier);
    }
    if (isFirst) {
      this.#baselines.set(key, { ...spent });
    }
    this.#received.set(key, { spent: { ...spent } });
  }

  #addCharges(key: string, spent: Record<string, number>): void {
    for (const [bucket, total] of Object.entries(spent)) {
      const before = this.#baselines.get(key)?.[bucket] ?? 0;
      this.#counted[bucket] = (this.#counted[bucket] ?? 0) + total - before;
    }
  }
}

const delivery = fc.constantFrom<Delivery>(
  "complete",
  "complete",
  "request_lost",
  "reply_lost",
);
const step = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({ kind: fc.constant("exchange"), delivery }),
  },
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
  delivery?: Delivery;
  bucket?: string;
  amount?: number;
  upstream?: string;
  requests?: number;
  time?: number;
};

function apply(group: Group, follower: Follower, step: Step): void {
  const { kind, bucket, upstream } = step;
  if (kind === "exchange") {
    group.exchange(follower, step.delivery!);
  } else if (kind === "spend") {
    // Charges may be refunded.
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

// Guards against sums that differ between an exchange of changes and one of the
// full state.
describe("an exchange of changes", () => {
  test("yields the full state despite lost messages and restarts", () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(NAMES.length - 1), step), { maxLength: 80 }),
        (steps) => {
          const group = new Group();
          for (const [index, each] of steps) {
            apply(group, group.followers[index]!, each as Step);
          }
          // One exchange detects a copy that differs, and the next one corrects
          // it.
          for (let turn = 0; turn < 3; turn += 1) {
            for (const follower of group.followers) {
              group.exchange(follower, "complete");
            }
          }
          const expected = group.expected();
          const observer = new Follower("observer");
          group.exchange(observer, "complete");
          for (const bucket of BUCKETS) {
            expect(observer.chargesOfOthers[bucket] ?? 0).toBe(
              expected[bucket] ?? 0,
            );
          }
          for (const follower of group.followers) {
            group.exchange(follower, "complete");
            expectSameAsFull(group, follower);
          }
        },
      ),
      { numRuns: 400, seed: 5 },
    );
  });
});

/** Compares a follower's state with that of one that requests everything. */
function expectSameAsFull(group: Group, follower: Follower): void {
  const { name, boot, spent, loads, isOpen } = follower;
  const other = new Follower(name);
  Object.assign(other, { boot, spent, loads, isOpen });
  group.exchange(other, "complete");
  for (const bucket of BUCKETS) {
    expect(follower.chargesOfOthers[bucket] ?? 0).toBe(
      other.chargesOfOthers[bucket] ?? 0,
    );
  }
  for (const id of UPSTREAMS) {
    expect(follower.loadsOfOthers.get(id)?.requests ?? 0)
      .toBe(other.loadsOfOthers.get(id)?.requests ?? 0);
  }
  const names = (each: Follower) => [...each.entries.keys()].sort();
  expect(names(follower)).toEqual(names(other));
}

test("a replica whose copy differs requests a full report and recovers", () => {
  const group = new Group();
  const [first, second] = group.followers as [Follower, Follower];
  group.exchange(first, "complete");
  first.spent["inn"] = 5;
  group.exchange(first, "complete");
  // The entry takes a report as acknowledged that never arrived.
  first.spent["inn"] = 9;
  first.report.build(first.feed, {
    spent: { ...first.spent },
    readWork: {},
    usage: {},
  });
  first.report.handleReply({ feed: first.feed, takesPartial: true });
  group.exchange(first, "complete");
  expect(group.hub.divergences).toBe(1);
  group.exchange(first, "complete");
  group.exchange(second, "complete");
  expect(group.hub.divergences).toBe(1);
  expect(second.chargesOfOthers["inn"]).toBe(9);
});

test("an entry or replica of an older release exchanges the full state", () => {
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
  } = new Follower("old").buildRequest();
  hub.sync({ ...old, spent: { inn: 0 } }, context);
  hub.sync({ ...old, spent: { inn: 4, bar: 2 } }, { ...context, now: 100 });
  const reply = hub.sync(observer.buildRequest(), { ...context, now: 200 });
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

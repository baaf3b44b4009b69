import { createSeededRandom } from "@heroncleat/base";
import { Hub, type SyncReply, type SyncRequest } from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import { ControlLinks } from "./control_links.ts";
import type { FeedPosition } from "./feed_position.ts";

const silentLog = { debug() {}, info() {}, warn() {}, error() {} };

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

function startLinks(
  { pool, seeds, now }: {
    pool: PeerPool;
    seeds: readonly string[];
    now: () => number;
  },
): ControlLinks {
  const links = new ControlLinks({
    isUsableEntry: () => true,
    pool,
    clock: { now, steady: now, wall: now } as never,
    log: silentLog,
    seeds: () => seeds,
    createRequest: () => ({}) as never,
    onReply: () => {},
    onFollow: () => {},
    suspectRevision: () => 0,
    isAwaitingConfiguration: () => false,
    random: () => 0.5,
    onIsolated: () => {},
  });
  links.start();
  return links;
}

/** Simulates the links of an entry to replicas that can be up or down. */
function simulateLinks(seeds: readonly string[]) {
  let now = 0;
  const up = new Set<string>();
  const state = {
    up,
    controls: [...seeds],
    requested: [] as string[],
    async run(milliseconds: number): Promise<void> {
      for (let passed = 0; passed < milliseconds; passed += 50) {
        now += 50;
        await jest.advanceTimersByTimeAsync(50);
      }
    },
  };
  const pool = {
    call: (address: string) => {
      state.requested.push(address);
      return up.has(address)
        ? Promise.resolve(replyOf(address, state.controls))
        : Promise.reject(new Error("The replica is unreachable."));
    },
  } as unknown as PeerPool;
  const links = startLinks({ pool, seeds, now: () => now });
  return { ...state, state, links };
}

function replyOf(address: string, controls: readonly string[]): SyncReply {
  return {
    feed: address,
    revision: 1,
    isLeading: false,
    upstreams: [],
    document: undefined,
    entries: undefined,
    controls,
    wall: 0,
    spentByOthers: {},
    shared: undefined,
  };
}

// Guards against an entry that falls back to outdated seeds when all replicas
// are unreachable, and never reconnects.
test("an entry that was isolated for long reconnects to the last known replicas", async () => {
  const { state, links } = simulateLinks(["a:1", "b:1"]);
  state.up.add("a:1");
  state.controls = ["c:1", "d:1"];
  await state.run(1000);
  state.up.clear();
  await state.run(40_000);
  expect(links.isConnected).toBe(false);
  state.up.add("d:1");
  await state.run(1000);
  expect(links.isConnected).toBe(true);
  links.stop();
});

test("an entry forgets replicas that no other replica lists", async () => {
  const { state, links } = simulateLinks(["a:1"]);
  state.up.add("a:1");
  state.controls = ["a:1", "c:1"];
  await state.run(1000);
  state.controls = ["a:1"];
  await state.run(30_000);
  state.requested.length = 0;
  await state.run(2000);
  expect(state.requested).toContain("a:1");
  expect(state.requested).not.toContain("c:1");
  links.stop();
});

// Guards against updates that are lost because the feed position advances
// although applying the reply failed.
test("an entry requests updates again that it failed to apply", async () => {
  let now = 0;
  let failures = 2;
  const requestedRevisions: number[] = [];
  const links = new ControlLinks({
    isUsableEntry: () => true,
    pool: {
      call: () => Promise.resolve(replyOf("a:1", ["a:1"])),
    } as unknown as PeerPool,
    clock: { now: () => now, steady: () => now, wall: () => now } as never,
    log: silentLog,
    seeds: () => ["a:1"],
    createRequest: ({ revision }) => {
      requestedRevisions.push(revision);
      return {} as never;
    },
    onReply: () => {
      failures -= 1;
      if (failures >= 0) {
        throw new Error("The configuration document can't be unpacked.");
      }
    },
    onFollow: () => {},
    suspectRevision: () => 0,
    isAwaitingConfiguration: () => false,
    random: () => 0.5,
    onIsolated: () => {},
  });
  links.start();
  for (; now < 1500; now += 50) {
    await jest.advanceTimersByTimeAsync(50);
  }
  links.stop();
  expect(requestedRevisions.slice(0, 4)).toEqual([0, 0, 0, 1]);
});

/**
 * Counts the calls per second that one of three replicas receives while entries
 * start.
 */
async function countCallsPerReplica(entries: number): Promise<number> {
  let now = 0;
  let calls = 0;
  const random = createSeededRandom(entries);
  const addresses = ["a:1", "b:1", "c:1"];
  const hubs = new Map(addresses.map((address) => [address, new Hub(address)]));
  const pool = {
    call: async (
      address: string,
      _method: string,
      options: { parameters: SyncRequest },
    ) => {
      calls += 1;
      // Latency of both directions and the processing.
      await new Promise((resolve) => setTimeout(resolve, 5));
      return hubs.get(address)!.sync(options.parameters, {
        now,
        document: undefined,
        controls: addresses,
        isLeading: false,
      });
    },
  } as unknown as PeerPool;
  const links = Array.from({ length: entries }, (_, index) =>
    new ControlLinks({
      isUsableEntry: () => true,
      pool,
      clock: { now: () => now, steady: () => now, wall: () => now } as never,
      log: silentLog,
      seeds: () => addresses,
      createRequest: (known) => describeEntry(`e${index}`, known),
      onReply: () => {},
      onFollow: () => {},
      suspectRevision: () => 0,
      isAwaitingConfiguration: () => true,
      random,
      onIsolated: () => {},
    }));
  for (const link of links) {
    link.start();
  }
  for (; now < 2000; now += 10) {
    calls = now === 1000 ? 0 : calls;
    await jest.advanceTimersByTimeAsync(10);
  }
  for (const link of links) {
    link.stop();
  }
  return calls / addresses.length;
}

function describeEntry(name: string, known: FeedPosition): SyncRequest {
  return {
    entry: {
      name,
      boot: `${name}-1`,
      address: `${name}:80`,
      zone: "a",
      region: "r",
      isOpen: false,
    },
    wall: 0,
    feed: known.feed,
    revision: known.revision,
    takesChanges: true,
    documentVersion: -1,
    ...known.report.build(known.feed, {
      spent: {},
      readWork: {},
      usage: {},
    }),
    readingSpeeds: {},
    loads: undefined,
  };
}

// Guards against entries that overload the control replicas with their polling
// while the group elects its leader after a full restart.
test("the call rate at a replica doesn't grow with the number of starting entries", async () => {
  expect(await countCallsPerReplica(200)).toBeLessThan(800);
  expect(await countCallsPerReplica(100)).toBeLessThan(800);
  // Many entries poll one replica each, and the others much less.
  expect(await countCallsPerReplica(96)).toBeLessThan(350);
  // A small number of entries polls at the full rate.
  expect(await countCallsPerReplica(12)).toBeGreaterThan(12 * 15);
});

const REPLICAS = ["a:1", "b:1", "c:1", "d:1", "e:1", "f:1", "g:1", "h:1"];
const ENTRIES = 86;
const STEP_MS = 10;

/** Entries that serve, and replicas of which the first leads at first. */
class SimulatedExchanges {
  now = 0;
  leader = "a:1";
  calls = 0;
  /** Addresses by which an entry's exchanges get a reply. */
  isReachable: (entry: number, replica: string) => boolean = () => true;
  /** Replica of the latest full exchange, by entry. */
  readonly primaries = new Map<number, string>();
  readonly links: ControlLinks[] = [];
  readonly #hubs = new Map(REPLICAS.map((each) => [each, new Hub(each)]));

  constructor() {
    const random = createSeededRandom(ENTRIES);
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      const links = new ControlLinks({
        isUsableEntry: () => true,
        pool: {
          call: (
            replica: string,
            _method: string,
            options: { parameters: SyncRequest },
          ) => this.#call(entry, replica, options.parameters),
        } as unknown as PeerPool,
        clock: {
          now: () => this.now,
          steady: () => this.now,
          wall: () => this.now,
        } as never,
        log: silentLog,
        seeds: () => REPLICAS,
        createRequest: (known) => ({
          ...describeEntry(`e${entry}`, known),
          entry: { ...describeEntry(`e${entry}`, known).entry, isOpen: true },
          loads: known.isPrimary ? {} : undefined,
        }),
        onReply: () => {},
        onFollow: () => {},
        suspectRevision: () => 0,
        isAwaitingConfiguration: () => false,
        random,
        onIsolated: () => {},
      });
      this.links.push(links);
      links.start();
    }
  }

  async #call(
    entry: number,
    replica: string,
    request: SyncRequest,
  ): Promise<SyncReply> {
    this.calls += 1;
    await new Promise((resolve) => setTimeout(resolve, STEP_MS));
    if (!this.isReachable(entry, replica)) {
      throw new Error("The replica is unreachable.");
    }
    if (request.loads !== undefined) {
      this.primaries.set(entry, replica);
    }
    const isLeading = replica === this.leader;
    return this.#hubs.get(replica)!.sync(request, {
      now: this.now,
      document: undefined,
      controls: REPLICAS,
      isLeading,
      leader: isLeading ? undefined : this.leader,
    });
  }

  async run(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
      this.now += STEP_MS;
      await jest.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  /** Exchanges per second and entry over some seconds. */
  async measureRate(seconds: number): Promise<number> {
    this.calls = 0;
    await this.run(seconds * 1000);
    return this.calls / seconds / ENTRIES;
  }

  stop(): void {
    for (const links of this.links) {
      links.stop();
    }
  }
}

describe("many entries and several replicas", () => {
  let exchanges: SimulatedExchanges;

  beforeEach(async () => {
    exchanges = new SimulatedExchanges();
    await exchanges.run(6000);
  });

  afterEach(() => {
    exchanges.stop();
  });

  // An entry's time without requests goes into exchanges. With a fixed interval
  // of 800 ms for each replica there are 11 a second.
  test("have some six exchanges a second for each entry", async () => {
    expect(await exchanges.measureRate(10)).toBeLessThan(6.6);
  });

  test("follow a new leader within two full exchanges", async () => {
    exchanges.leader = "c:1";
    await exchanges.run(1000);
    exchanges.primaries.clear();
    await exchanges.run(1000);
    expect(new Set(exchanges.primaries.values())).toEqual(new Set(["c:1"]));
    expect(exchanges.primaries.size).toBe(ENTRIES);
  });

  test("list no entry that has been gone for two seconds", async () => {
    exchanges.links[0]!.stop();
    await exchanges.run(2000);
    for (const links of exchanges.links.slice(1)) {
      const names = links.listEntries().map(({ name }) => name);
      expect(names).toHaveLength(ENTRIES - 1);
      expect(names).not.toContain("e0");
    }
  });

  // Entries that reach both sides pass on charges in short exchanges.
  test("exchange more often while some can't reach the leader", async () => {
    exchanges.isReachable = (entry, replica) =>
      entry >= 20 || replica !== "a:1";
    await exchanges.run(4000);
    expect(await exchanges.measureRate(10)).toBeGreaterThan(10);
    exchanges.isReachable = () => true;
    await exchanges.run(6000);
    expect(await exchanges.measureRate(10)).toBeLessThan(6.6);
  });
});

/** Links to two replicas, the first of which leads, that can reply late. */
function linkTwoReplicas() {
  let now = 0;
  /** Delay of the replies by address; Infinity loses them. */
  const delays = new Map<string, number>();
  const controls = ["a:1", "b:1"];
  const call = async (address: string) => {
    const delay = delays.get(address) ?? 0;
    if (delay === Infinity) {
      throw new Error("The replica is unreachable.");
    }
    await new Promise((resolve) => setTimeout(resolve, delay));
    return {
      ...replyOf(address, controls),
      isLeading: address === "a:1",
    };
  };
  const links = startLinks({
    pool: { call } as unknown as PeerPool,
    seeds: controls.slice(),
    now: () => now,
  });
  const run = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += 10) {
      now += 10;
      await jest.advanceTimersByTimeAsync(10);
    }
  };
  const confirm = async () => {
    const confirmed = links.confirmCurrent();
    await run(300);
    return await confirmed;
  };
  return { links, delays, controls, run, confirm };
}

// Guards against an entry that takes itself for current by replies that were
// requested before a version joined.
test.each<[string, Record<string, number>, boolean]>([
  ["all replicas reply", {}, true],
  ["a reply is held up", { "b:1": 500 }, false],
  ["the primary's reply is held up", { "a:1": 500 }, false],
])(
  "an entry is current only by replies to later requests: %s",
  async (_name, late, expected) => {
    const { links, delays, run, confirm } = linkTwoReplicas();
    await run(1000);
    for (const [address, delay] of Object.entries(late)) {
      delays.set(address, delay);
    }
    expect(await confirm()).toBe(expected);
    links.stop();
  },
);

test.each<[string, number, boolean]>([
  ["late", 500, false],
  ["soon", 0, true],
])(
  "a reply to a request in flight doesn't count, and the next one comes %s",
  async (_name, delay, expected) => {
    const { links, delays, run, confirm } = linkTwoReplicas();
    await run(1000);
    delays.set("b:1", 90);
    links.exchangeWithAll();
    await run(20);
    delays.set("b:1", delay);
    expect(await confirm()).toBe(expected);
    links.stop();
  },
);

// Guards against versions that a replica lists to others after it was cut off
// and dropped.
test("an entry isn't current for as long as streams last after it dropped a replica", async () => {
  const { links, delays, controls, run, confirm } = linkTwoReplicas();
  await run(1000);
  delays.set("b:1", Infinity);
  controls.pop();
  await run(30_000);
  expect(await confirm()).toBe(false);
  await run(60_000);
  expect(await confirm()).toBe(true);
  links.stop();
});

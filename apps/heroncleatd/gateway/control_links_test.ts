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
  const links = new ControlLinks({
    pool,
    clock: { now: () => now, steady: () => now, wall: () => now } as never,
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

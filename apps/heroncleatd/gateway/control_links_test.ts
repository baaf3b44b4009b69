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

/** Links of an entry to replicas of which any may be up. */
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
        : Promise.reject(new Error("Nobody answers."));
    },
  } as unknown as PeerPool;
  const links = new ControlLinks({
    pool,
    clock: { now: () => now, steady: () => now, wall: () => now } as never,
    log: silentLog,
    seeds: () => seeds,
    createRequest: () => ({}) as never,
    onReply: () => {},
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

// All seeds had been replaced by others while an entry ran. After half a minute
// in which it reached nobody it knew the seeds only, and never came back.
test("an entry that reached nobody for long still knows the last replicas", async () => {
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

test("an entry forgets replicas that no other names", async () => {
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

// An entry noted how far it had read a replica's feed before it took the reply
// in. Where that failed half-way, as with a configuration that couldn't be
// unpacked, what else had changed was never sent again: an upstream's leave, too.
test("an entry asks again for what it couldn't take in", async () => {
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
        throw new Error("The configuration can't be unpacked.");
      }
    },
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

/** Calls a second that one of three replicas gets while entries start. */
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
      // One way there, the work, and back.
      await new Promise((resolve) => setTimeout(resolve, 5));
      return hubs.get(address)!.sync(options.parameters, {
        now,
        document: undefined,
        controls: addresses,
        isLeading: false,
      });
    },
  } as unknown as PeerPool;
  const links = Array.from({ length: entries }, (_, place) =>
    new ControlLinks({
      pool,
      clock: { now: () => now, steady: () => now, wall: () => now } as never,
      log: silentLog,
      seeds: () => addresses,
      createRequest: (known) => describeEntry(`e${place}`, known),
      onReply: () => {},
      suspectRevision: () => 0,
      isAwaitingConfiguration: () => true,
      random,
      onIsolated: () => {},
    }));
  for (const each of links) {
    each.start();
  }
  for (; now < 2000; now += 10) {
    calls = now === 1000 ? 0 : calls;
    await jest.advanceTimersByTimeAsync(10);
  }
  for (const each of links) {
    each.stop();
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
    ...known.report.describe(known.feed, {
      spent: {},
      readWork: {},
      usage: {},
    }),
    readingSpeeds: {},
    loads: undefined,
  };
}

// While the control group elected its leader after a loss of all power, each
// entry asked each replica 20 times a second: 200 entries 4,000 times, more than
// a whole core, of which the election needs a part.
test("entries that start together ask no more the more they are", async () => {
  expect(await countCallsPerReplica(200)).toBeLessThan(800);
  expect(await countCallsPerReplica(100)).toBeLessThan(800);
  // Few entries ask as often as they may.
  expect(await countCallsPerReplica(12)).toBeGreaterThan(12 * 15);
});

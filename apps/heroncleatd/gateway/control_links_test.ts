import type { SyncReply } from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import { ControlLinks } from "./control_links.ts";

const quiet = { debug() {}, info() {}, warn() {}, error() {} };

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** Links of an entry to replicas of which any may be up. */
function play(seeds: readonly string[]) {
  let now = 0;
  const up = new Set<string>();
  const state = {
    up,
    controls: [...seeds],
    asked: [] as string[],
    async run(milliseconds: number): Promise<void> {
      for (let passed = 0; passed < milliseconds; passed += 50) {
        now += 50;
        await jest.advanceTimersByTimeAsync(50);
      }
    },
  };
  const pool = {
    call: (address: string) => {
      state.asked.push(address);
      return up.has(address)
        ? Promise.resolve(replyOf(address, state.controls))
        : Promise.reject(new Error("Nobody answers."));
    },
  } as unknown as PeerPool;
  const links = new ControlLinks({
    pool,
    clock: { now: () => now, steady: () => now, wall: () => now } as never,
    log: quiet,
    seeds: () => seeds,
    describe: () => ({}) as never,
    onReply: () => {},
    isWaiting: () => false,
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
  const { state, links } = play(["a:1", "b:1"]);
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
  const { state, links } = play(["a:1"]);
  state.up.add("a:1");
  state.controls = ["a:1", "c:1"];
  await state.run(1000);
  state.controls = ["a:1"];
  await state.run(30_000);
  state.asked.length = 0;
  await state.run(2000);
  expect(state.asked).toContain("a:1");
  expect(state.asked).not.toContain("c:1");
  links.stop();
});

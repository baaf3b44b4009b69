import { UpstreamBalancer, UpstreamDirectory } from "./mod.ts";

const DRAIN_TIMEOUT_MS = 2000;
const DRAINING_SINCE_MS = 1000;
const FORWARDED = { reporter: "10.0.1.1:80", age: 0 };
const RECORD = {
  born: undefined,
  service: "desk",
  zone: "a",
  slots: 4,
  isSpot: false,
  leavesIn: undefined,
};

/** A directory of one ready upstream, and one that drains. */
function createDirectory(leavesIn?: number): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  for (const state of ["ready", "draining"] as const) {
    directory.merge(
      {
        ...RECORD,
        id: state,
        name: state,
        address: `${state}:80`,
        sequence: 2,
        state,
        leavesIn: state === "draining" ? leavesIn : undefined,
      },
      DRAINING_SINCE_MS,
      { ...FORWARDED, drainAge: 0 },
    );
  }
  return directory;
}

function choose(
  directory: UpstreamDirectory,
  { isResumed, now, excluded = [], drainTimeout = DRAIN_TIMEOUT_MS }: {
    isResumed: boolean;
    now: number;
    excluded?: readonly string[];
    drainTimeout?: number;
  },
): string | undefined {
  const balancer = new UpstreamBalancer({ drainTimeout: () => drainTimeout });
  return balancer.choose(directory.list(), {
    now,
    requiresHeartbeats: true,
    request: {
      service: "desk",
      zone: "a",
      parts: [],
      promptTokens: 0,
      excluded: new Set(excluded),
      isResumed,
    },
  })?.upstream.record.id;
}

describe("an upstream that drains", () => {
  test("gets resumed streams until its drain timeout, and nothing else", () => {
    const directory = createDirectory();
    const excluded = ["ready"];
    const chosenAt = (now: number, isResumed = true) =>
      choose(directory, { isResumed, now, excluded });
    expect(chosenAt(1100)).toBe("draining");
    expect(chosenAt(2700)).toBe("draining");
    expect(chosenAt(1100, false)).toBeUndefined();
    expect(chosenAt(DRAINING_SINCE_MS + DRAIN_TIMEOUT_MS)).toBeUndefined();
    expect(choose(directory, {
      isResumed: true,
      now: 1100,
      excluded,
      drainTimeout: 0,
    })).toBeUndefined();
  });

  test("gets nothing once its VM is reclaimed", () => {
    const directory = createDirectory(600);
    const options = { isResumed: true, excluded: ["ready"] };
    expect(choose(directory, { ...options, now: 1100 })).toBe("draining");
    expect(choose(directory, { ...options, now: 1600 })).toBeUndefined();
  });

  test("comes after those that are ready", () => {
    const directory = createDirectory();
    expect(choose(directory, { isResumed: true, now: 1100 })).toBe("ready");
  });

  test("gets resumed streams right after a failure, if there is no other", () => {
    const directory = createDirectory();
    const balancer = new UpstreamBalancer({
      drainTimeout: () => DRAIN_TIMEOUT_MS,
    });
    balancer.pause("draining", 1100);
    balancer.pause("ready", 1100);
    const chosenAt = (isResumed: boolean) =>
      balancer.rank(directory.list(), {
        now: 1100,
        requiresHeartbeats: true,
        request: {
          service: "desk",
          zone: "a",
          parts: [],
          promptTokens: 0,
          excluded: new Set(),
          isResumed,
        },
      }).map(({ upstream }) => upstream.record.id);
    expect(chosenAt(true)).toEqual(["ready", "draining"]);
    expect(chosenAt(false)).toEqual([]);
  });

  test("gets nothing if it isn't known for how long it has drained", () => {
    const directory = new UpstreamDirectory();
    directory.merge(
      {
        ...RECORD,
        id: "old",
        name: "old",
        address: "old:80",
        sequence: 9,
        state: "draining",
      },
      1000,
      FORWARDED,
    );
    expect(choose(directory, { isResumed: true, now: 1001 })).toBeUndefined();
  });
});

import type { KnownUpstream } from "@heroncleat/serving";
import { ReachabilityWatcher } from "./reachability_watcher.ts";

const UPSTREAMS = ["u0", "u1", "u2", "u3", "u4", "u5"];
const log = { debug() {}, info() {}, warn() {}, error() {} };
const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

/**
 * Plays a request that waits at u0 while connections to the others fail
 * silently; returns whether it was given up.
 */
async function playCut(setup: {
  /** Bytes of its response by the time. */
  readonly ownBytesAt?: (now: number) => number;
  /** Bytes that its upstream has delivered to all requests by the time. */
  readonly upstreamBytesAt?: (now: number) => number;
  readonly waited?: number;
}): Promise<boolean> {
  let now = 0;
  let isGivenUp = false;
  const known = UPSTREAMS.map((id) => ({
    record: { id, service: "desk", address: `${id}:1`, state: "ready" },
  })) as unknown as KnownUpstream[];
  const watcher = new ReachabilityWatcher({
    clock: { steady: () => now },
    log,
    metrics,
    listUpstreams: () => known,
    probe: () => new Promise(() => {}),
    onChange: () => {},
    closeIdle: () => {},
    random: () => 0,
  });
  watcher.trackWaiting({ id: "u0", service: "desk" }, {
    tryCancel: () => isGivenUp = true,
    bytesReceived: () => setup.ownBytesAt?.(now) ?? 0,
    upstreamBytes: () => setup.upstreamBytesAt?.(now) ?? 0,
  });
  const cutAt = setup.waited ?? 1000;
  while (now < cutAt) {
    now += 50;
    jest.advanceTimersByTime(50);
  }
  for (const id of UPSTREAMS) {
    watcher.recordFailure({ id, service: "desk" }, {
      startedAt: now - 300,
      isSilent: true,
    });
  }
  // The head may wait in the kernel while the failures are handled.
  now += 1;
  jest.advanceTimersByTime(1);
  watcher.stop();
  return isGivenUp;
}

test("a silent request at a silent upstream is given up as a cut begins", async () => {
  expect(await playCut({})).toBe(true);
});

// Guards against sound requests that are given up for the connections of others.
test.each([
  ["whose response has begun", { ownBytesAt: () => 20 }],
  ["whose upstream delivers to others", {
    upstreamBytesAt: (now: number) => now,
  }],
  ["whose upstream delivers now and then", {
    upstreamBytesAt: (now: number) => Math.floor(now / 250),
  }],
  ["whose head comes as the cut begins", {
    ownBytesAt: (now: number) => now > 1000 ? 20 : 0,
  }],
  ["that was sent a moment ago", { waited: 250 }],
])("a request %s isn't given up", async (_, setup) => {
  expect(await playCut(setup)).toBe(false);
});

test("what an upstream delivered before a request was sent doesn't keep it", async () => {
  expect(await playCut({ upstreamBytesAt: () => 5000 })).toBe(true);
});

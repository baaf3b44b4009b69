import { UpstreamDirectory } from "@heroncleat/serving";
import { ReachabilityWatcher } from "./reachability_watcher.ts";

const silentLog = { debug() {}, info() {}, warn() {}, error() {} };
const noMetrics = { increment() {}, gauge() {}, timing() {}, close() {} };
const PER_VERSION = 6;

/** Watches upstreams of two versions, of which some accept connections. */
function createWatcher(
  accepts: (address: string) => boolean | undefined,
) {
  const directory = new UpstreamDirectory();
  for (const version of ["v1", "v2"]) {
    for (let at = 0; at < PER_VERSION; at += 1) {
      const name = `${version}-${at}`;
      directory.merge({
        id: name,
        name,
        born: undefined,
        version,
        service: "desk",
        address: `${name}:80`,
        zone: "a",
        slots: 4,
        sequence: 1,
        state: "ready",
        isSpot: false,
        leavesIn: undefined,
      }, 0);
    }
  }
  let now = 100;
  const probed: string[] = [];
  const watcher = new ReachabilityWatcher({
    clock: { steady: () => now += 1 },
    log: silentLog,
    metrics: noMetrics,
    listUpstreams: () => directory.list(),
    probe: (address) => {
      probed.push(address);
      return Promise.resolve(accepts(address));
    },
    onChange: () => {},
    closeIdle: () => {},
    random: () => 0.99,
  });
  const refuse = (id: string) =>
    watcher.recordFailure({ id, service: "desk" }, {
      startedAt: now,
      isSilent: false,
    });
  return { watcher, probed, refuse };
}

// Guards against an entry that passes on streams of a version that has ended.
test("refused connections to all of a version don't cut an entry off where another accepts", async () => {
  const { watcher, probed, refuse } = createWatcher((address) =>
    address.startsWith("v1")
  );
  for (let at = 0; at < PER_VERSION; at += 1) {
    refuse(`v2-${at}`);
    expect(watcher.isCutOff("desk")).toBe(false);
  }
  expect(await watcher.reaches("desk", 0)).toBe(true);
  expect(probed.some((address) => address.startsWith("v1"))).toBe(true);
  expect(watcher.isCutOff("desk")).toBe(false);
  watcher.stop();
});

test("an entry whose links refuse everything finds itself cut off", async () => {
  const { watcher, refuse } = createWatcher(() => false);
  refuse("v2-0");
  refuse("v2-1");
  expect(await watcher.reaches("desk", 0)).toBe(false);
  expect(watcher.isCutOff("desk")).toBe(true);
  watcher.stop();
});

test("a connection that opened lately spares further probes", async () => {
  const { watcher, probed, refuse } = createWatcher((address) =>
    address.startsWith("v1")
  );
  refuse("v2-0");
  refuse("v2-1");
  await watcher.reaches("desk", 0);
  const before = probed.length;
  expect(await watcher.reaches("desk", 0)).toBe(true);
  expect(probed).toHaveLength(before);
  watcher.stop();
});

// Guards against an entry that takes itself for reconnected, or cut off, as it
// has no descriptor to find out.
test("probes without a descriptor change nothing", async () => {
  let accepted: boolean | undefined;
  const { watcher, probed, refuse } = createWatcher(() => accepted);
  refuse("v2-0");
  refuse("v2-1");
  expect(await watcher.reaches("desk", 0)).toBe(true);
  expect(probed.length).toBeGreaterThan(0);
  expect(watcher.isCutOff("desk")).toBe(false);
  accepted = false;
  expect(await watcher.reaches("desk", 0)).toBe(false);
  accepted = undefined;
  expect(await watcher.mayRun("v1-0:80")).toBe(true);
  expect(watcher.isCutOff("desk")).toBe(true);
  accepted = true;
  expect(await watcher.mayRun("v1-0:80")).toBe(true);
  expect(watcher.isCutOff("desk")).toBe(false);
  watcher.stop();
});

test("an upstream that isn't listed may run if it can't be tried", async () => {
  const { watcher } = createWatcher(() => undefined);
  expect(await watcher.mayRun("v3-0:80")).toBe(true);
});

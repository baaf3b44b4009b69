import { UpstreamDirectory, type UpstreamRecord } from "@heroncleat/serving";
import { ReplacedRuns } from "./replaced_runs.ts";
import type { UpstreamAgent } from "./upstream_agent.ts";

const FORMER_ADDRESS = "127.0.0.1:1";
const log = { debug() {}, info() {}, warn() {}, error() {} };

function record(born: number, address: string): UpstreamRecord {
  return {
    id: `u1@${born}`,
    name: "u1",
    born,
    service: "desk",
    address,
    zone: "a",
    slots: 1,
    sequence: 1,
    state: "ready",
    isSpot: false,
    leavesIn: undefined,
  };
}

/** Checks a run at a replaced instance six times; whether it was given up. */
async function playRun(setup: {
  /** Whether all checks begin at one moment. */
  readonly overlaps?: boolean;
  readonly bytesAt?: (check: number) => number;
  readonly isPaused?: boolean;
  readonly isReplaceable?: boolean;
  readonly replacementAddress?: string;
  readonly probe?: () => Promise<boolean | undefined>;
}): Promise<boolean> {
  const { bytesAt = () => 0, replacementAddress = "127.0.0.1:2" } = setup;
  const directory = new UpstreamDirectory();
  directory.merge(record(1000, FORMER_ADDRESS), 0);
  directory.merge(record(2000, replacementAddress), 0);
  let check = 0;
  let isGivenUp = false;
  const run = {
    recordEndedBy: () => {},
    bytesReceived: () => bytesAt(check),
    isPaused: () => setup.isPaused ?? false,
    isReplaceable: () => setup.isReplaceable ?? true,
    giveUp: () => isGivenUp = true,
  };
  const agent = { listRuns: () => [run] } as unknown as UpstreamAgent;
  const runs = new ReplacedRuns({
    listRetired: () => [{ upstream: "u1@1000", agent }],
    directory,
    probe: setup.probe ?? (() => Promise.resolve(true)),
    log,
  });
  const checks: Promise<void>[] = [];
  for (check = 0; check < 6; check += 1) {
    checks.push(runs.check());
    if (!setup.overlaps) {
      await checks.at(-1);
    }
  }
  await Promise.all(checks);
  return isGivenUp;
}

test("a silent run at a replaced instance is given up", async () => {
  expect(await playRun({})).toBe(true);
});

// Guards against sound runs that are cut on hearsay.
test.each([
  ["delivers", { bytesAt: (check: number) => check }],
  ["delivers now and then", {
    bytesAt: (check: number) => Math.floor(check / 3),
  }],
  ["waits for its caller to read", { isPaused: true }],
  ["was silent for a moment, while checks overlap", { overlaps: true }],
  ["may run once only", { isReplaceable: false }],
  ["has a replacement at its own address", {
    replacementAddress: FORMER_ADDRESS,
  }],
  ["has a replacement that accepts no connections", {
    probe: () => Promise.resolve(false),
  }],
  ["has a replacement that can't be tried, without a descriptor", {
    probe: () => Promise.resolve(undefined),
  }],
])("a run that %s goes on", async (_, setup) => {
  expect(await playRun(setup)).toBe(false);
});

test("a run that delivers while its replacement is probed goes on", async () => {
  let bytes = 0;
  const probe = () => {
    bytes += 1;
    return Promise.resolve(true);
  };
  expect(await playRun({ bytesAt: () => bytes, probe })).toBe(false);
});

// Guards against a run that is given up though its head has just come: it waits
// in the kernel when the probe of the replacement succeeds.
test("a run whose head comes with the probe's connection goes on", async () => {
  let bytes = 0;
  const probe = () => {
    setImmediate(() => bytes += 1);
    return Promise.resolve(true);
  };
  expect(await playRun({ bytesAt: () => bytes, probe })).toBe(false);
});

test("a run goes on if its instance counts as current again once probed", async () => {
  const directory = new UpstreamDirectory();
  directory.merge(record(1000, FORMER_ADDRESS), 0);
  let isReplaced = true;
  const findReplacement = () =>
    isReplaced ? { record: record(2000, "127.0.0.1:2") } : undefined;
  let isGivenUp = false;
  const run = {
    recordEndedBy: () => {},
    bytesReceived: () => 0,
    isPaused: () => false,
    isReplaceable: () => true,
    giveUp: () => isGivenUp = true,
  };
  const agent = { listRuns: () => [run] } as unknown as UpstreamAgent;
  const runs = new ReplacedRuns({
    listRetired: () => [{ upstream: "u1@1000", agent }],
    directory: {
      get: (id: string) => directory.get(id),
      findReplacement,
    } as unknown as UpstreamDirectory,
    probe: () => {
      isReplaced = false;
      return Promise.resolve(true);
    },
    log,
  });
  for (let check = 0; check < 6; check += 1) {
    isReplaced = true;
    await runs.check();
  }
  expect(isGivenUp).toBe(false);
});

import { SimulatedQuotas } from "../limits/simulated_quotas.ts";

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** Simulates twelve entries, with a control replica on every third host. */
function simulate(seed: number): SimulatedQuotas {
  return new SimulatedQuotas({
    entries: 12,
    replicas: [0, 3, 6, 9],
    rate: 146_600,
    seed,
    advanceTimers: (milliseconds) =>
      jest.advanceTimersByTimeAsync(milliseconds),
  });
}

/** Simulates many entries, with one control replica per zone. */
function simulateMany(entries: number, zones: number): SimulatedQuotas {
  return new SimulatedQuotas({
    entries,
    replicas: range(0, zones).map((zone) => Math.floor(zone * entries / zones)),
    rate: 146_600,
    seed: 1,
    advanceTimers: (milliseconds) =>
      jest.advanceTimersByTimeAsync(milliseconds),
  });
}

/** Whether a partition separates two hosts. */
type Partition = (left: number, right: number) => boolean;

/**
 * Creates a partition between groups of hosts. Hosts in none of the groups
 * reach all others.
 */
function partitionBetween(...groups: number[][]): Partition {
  const groupOf = (host: number) =>
    groups.findIndex((group) => group.includes(host));
  return (left, right) => {
    const [one, other] = [groupOf(left), groupOf(right)];
    return one !== -1 && other !== -1 && one !== other;
  };
}

/**
 * Simulates a workspace whose load peaks from 2 s on and a partition from 4.0
 * to 10.5 s, with several seeds. Returns the largest excess in any window, as a
 * share of the tolerated excess.
 */
async function maxExcessShareWith(isPartitioned: Partition): Promise<number> {
  const excessShares: number[] = [];
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const quotas = simulate(seed);
    quotas.network.leader = LEADER_HOST;
    await quotas.run(2000, USUAL_LOAD);
    await quotas.run(2000, PEAK_LOAD);
    quotas.network.isPartitioned = isPartitioned;
    quotas.network.leader = undefined;
    await quotas.run(6500, PEAK_LOAD);
    quotas.network.isPartitioned = () => false;
    quotas.network.leader = LEADER_HOST;
    await quotas.run(4000, PEAK_LOAD);
    quotas.close();
    excessShares.push(quotas.maxExcessShare);
  }
  return Math.max(...excessShares);
}

/** Host of the leading replica, except during a partition. */
const LEADER_HOST = 3;
/** Usual load of the workspace, as a multiple of its rate. */
const USUAL_LOAD = 0.55;
/** Peak load of the workspace, as a multiple of its rate. */
const PEAK_LOAD = 4.2;

// Guards against an overspent quota while the control replicas are partitioned
// but most entries reach both sides, so that no replica receives the charges of
// all entries.
test("a quota holds while each control replica reaches some of the entries", async () => {
  expect(await maxExcessShareWith(partitionBetween([0, 6], [3, 9])))
    .toBeLessThan(0.9);
});

// Guards against an isolated entry that spends more than its share of the quota
// until it detects the partition.
test.each([
  { what: "an entry with its replica", groups: [[0], range(1, 12)] },
  {
    what: "two entries with their replicas",
    groups: [[0, 6], rangeWithout([0, 6])],
  },
  { what: "half of all hosts", groups: [range(0, 6), range(6, 12)] },
  { what: "entries without a replica", groups: [[1, 2], rangeWithout([1, 2])] },
  { what: "a replica from the other replicas", groups: [[0], [3, 6, 9]] },
])("a quota holds while a partition isolates $what", async ({ groups }) => {
  expect(await maxExcessShareWith(partitionBetween(...groups))).toBeLessThan(1);
});

// Guards against an overspent quota with many entries, where each spends what
// it sees as remaining before it receives the charges of the others, and
// against a quota that can't be used up.
test.each([{ entries: 81, zones: 3 }, { entries: 200, zones: 6 }])(
  "a quota holds and is used up while $entries entries share it",
  async ({ entries, zones }) => {
    const quotas = simulateMany(entries, zones);
    quotas.network.leader = Math.floor(entries / zones);
    await quotas.run(2000, USUAL_LOAD);
    await quotas.run(9000, PEAK_LOAD * 1.4);
    quotas.close();
    expect(quotas.maxExcessShare).toBeLessThan(0.8);
    expect(quotas.servedShare(4000, 11_000)).toBeGreaterThan(0.95);
  },
  120_000,
);

function range(from: number, to: number): number[] {
  return Array.from({ length: to - from }, (_, at) => from + at);
}

function rangeWithout(hosts: readonly number[]): number[] {
  return range(0, 12).filter((host) => !hosts.includes(host));
}

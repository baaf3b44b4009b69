import { SimulatedQuotas } from "./simulated_quotas.ts";

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** Twelve entries, with a control replica beside each third one. */
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

/** Many entries, with a control replica beside one of each zone. */
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

/** Whether a cut passes between two hosts. */
type Partition = (left: number, right: number) => boolean;

/** A cut between groups of hosts; hosts in none of them reach everybody. */
function partitionBetween(...groups: number[][]): Partition {
  const groupOf = (host: number) =>
    groups.findIndex((group) => group.includes(host));
  return (left, right) => {
    const [one, other] = [groupOf(left), groupOf(right)];
    return one !== -1 && other !== -1 && one !== other;
  };
}

/**
 * Simulates a workspace that turns hot at 2 s, and a cut from 4.0 to 10.5 s,
 * with several seeds; gives the most of what is tolerated that any window held.
 */
async function maxExcessShareWith(isPartitioned: Partition): Promise<number> {
  const excessShares: number[] = [];
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const quotas = simulate(seed);
    quotas.leader = LEADER_HOST;
    await quotas.run(2000, USUAL_LOAD);
    await quotas.run(2000, PEAK_LOAD);
    quotas.isPartitioned = isPartitioned;
    quotas.leader = undefined;
    await quotas.run(6500, PEAK_LOAD);
    quotas.isPartitioned = () => false;
    quotas.leader = LEADER_HOST;
    await quotas.run(4000, PEAK_LOAD);
    quotas.close();
    excessShares.push(quotas.maxExcessShare);
  }
  return Math.max(...excessShares);
}

/** Host of the replica that leads but during a cut. */
const LEADER_HOST = 3;
/** A workspace at its usual, as a part of its rate. */
const USUAL_LOAD = 0.55;
/** A workspace at 7.5 times its usual. */
const PEAK_LOAD = 4.2;

// What callers saw: a workspace got 6 to 17 % more in 8 s than may be tolerated
// beyond its quota.
//
// It had begun to ask for 7.5 times its usual, and the control replicas were
// then cut into halves that most entries still reached. Each half's replicas
// knew and sent only what that half's entries charged, and an entry
// that reached both took the larger of the two sums for the whole. Evidence:
// what the entries charged adds up to what was judged, and during the cut it
// was 1.16 to 1.3 times the rate; the same load without the cut stayed within.
test("a quota holds while each control replica reaches a part of the entries", async () => {
  // 1.25 where halves aren't joined, 0.72 without a cut.
  expect(await maxExcessShareWith(partitionBetween([0, 6], [3, 9])))
    .toBeLessThan(0.9);
});

// An entry that is cut off learns it a second later. Until then it let its
// bucket fill as if the others spent nothing, and then spent that: a third of
// the rate in the place of a twelfth.
test.each([
  { what: "an entry with its replica", groups: [[0], range(1, 12)] },
  { what: "two entries with theirs", groups: [[0, 6], rangeWithout([0, 6])] },
  { what: "half of all", groups: [range(0, 6), range(6, 12)] },
  { what: "entries without a replica", groups: [[1, 2], rangeWithout([1, 2])] },
  { what: "a replica from the others", groups: [[0], [3, 6, 9]] },
])("a quota holds while a cut parts $what", async ({ groups }) => {
  expect(await maxExcessShareWith(partitionBetween(...groups))).toBeLessThan(1);
});

// A workspace that turned hot at 200 entries got twice what may be tolerated
// beyond its quota in a window: entries exchanged every 600 ms, and each spent
// what it saw in the bucket before it learned of the others. Once they knew,
// they held back so much that it got less than its quota.
test.each([{ entries: 81, zones: 3 }, { entries: 200, zones: 6 }])(
  "a quota holds, and is served, while $entries entries share it",
  async ({ entries, zones }) => {
    const quotas = simulateMany(entries, zones);
    quotas.leader = Math.floor(entries / zones);
    await quotas.run(2000, USUAL_LOAD);
    await quotas.run(9000, PEAK_LOAD * 1.4);
    quotas.close();
    // 1.06 and 2.03 where entries wait for the next exchange.
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

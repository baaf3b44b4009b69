import { median } from "./median.ts";
import type { OriginPolicy } from "./origin_policy.ts";
import { originReplicas } from "./origin_replicas.ts";
import type { OriginReport } from "./origin_report.ts";
import type { OriginScenario } from "./origin_scenario.ts";
import { SimulatedOrigins } from "./simulated_origins.ts";

const base = {
  holders: 0,
  toldAgain: 0,
  replicaCopies: 0,
  asks: "all",
  hasReserve: true,
  currentBy: "confirmation",
  isComputed: false,
} as const satisfies OriginPolicy;

/** As entries do it, and other ways to know where a stream began. */
const policies = {
  stored: {
    ...base,
    holders: 5,
    toldAgain: 3,
    replicaCopies: originReplicas.copies,
  },
  heldAndAsked: { ...base, holders: 5, toldAgain: 3 },
  storedOnce: { ...base, holders: 5, toldAgain: 3, replicaCopies: 1 },
  askedOnly: base,
  toldToAll: { ...base, holders: Infinity, asks: "nobody" },
  computed: { ...base, asks: "nobody", isComputed: true },
} as const satisfies Record<string, OriginPolicy>;

const DURATION_MS = 200_000;
const FAULT_DURATION_MS = 100_000;
const MADE_UP_DURATION_MS = 10_000;
/** One version has been alone for as long as streams last by then. */
const JOINED_MS = 75_000;
/** A second version joins while entries restart and replies are held up. */
const joining: Partial<OriginScenario> = {
  joinsAt: JOINED_MS,
  maxReplyDelay: 790,
  beginsPerSecond: 300,
};
const FEW = { entryCount: 12, seeds: 12 };
const MANY = { entryCount: 200, seeds: 2 };

/** The same if all entries that knew where they began were killed. */
const MIN_SHARE_AFTER_KILL = 0.9;
/** Share of resumed streams that go on, of those whose version serves. */
const MIN_RESUMED_SHARE = 0.95;

type Scale = { readonly entryCount: number; readonly seeds: number };

type Play = Scale & {
  duration?: number;
  /** Whether there is one version, and no fault of an entry. */
  isCalm?: boolean;
  /** What is played instead of faults of single entries. */
  faults?: Partial<OriginScenario>;
};

function play(
  policy: OriginPolicy,
  { entryCount, seeds, duration = DURATION_MS, isCalm = false, faults }: Play,
) {
  const reports: OriginReport[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    const simulation = new SimulatedOrigins({
      seed,
      entryCount,
      duration,
      changesVersions: !isCalm,
      disturbsEntries: !isCalm && faults === undefined,
      ...faults,
    }, policy);
    reports.push(simulation.run());
  }
  const sum = (pick: (report: OriginReport) => number) =>
    reports.reduce((total, report) => total + pick(report), 0);
  return {
    mixed: sum(({ mixed }) => mixed),
    resumed: sum(({ resumed }) => resumed),
    cut: sum(({ cut }) => cut),
    wentOn: sum(({ wentOn }) => wentOn) / sum(({ resumed }) => resumed),
    cutWentOn: sum(({ cutWentOn }) => cutWentOn) / sum(({ cut }) => cut),
    begun: sum(({ begun }) => begun) / sum(({ asked }) => asked),
    searchTime: median(reports.flatMap(({ searchTimes }) => searchTimes)),
    confirmationsPerStream: sum(({ confirmations }) => confirmations) /
      sum(({ resumed }) => resumed),
    messagesPerStream: sum(({ messages }) => messages) /
      sum(({ begun }) => begun),
    lateMessages: sum(({ lateMessages }) => lateMessages),
  };
}

describe("streams that are resumed while versions change and entries fail", () => {
  test.each([["12 entries", FEW], ["200 entries", MANY]])(
    "never go on at another version, and go on at their own: %s",
    (_name, scale) => {
      const { mixed, wentOn } = play(policies.stored, scale);
      expect(mixed).toBe(0);
      expect(wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
    },
  );

  test.each<[string, Partial<OriginScenario>, Scale]>([
    [
      "a quarter of the entries are killed together",
      { killedShare: 0.25 },
      FEW,
    ],
    ["half of 12 entries are killed together", { killedShare: 0.5 }, FEW],
    ["half of 200 entries are killed together", { killedShare: 0.5 }, MANY],
    ["entries restart one after the other", { restartsEntries: true }, FEW],
    ["a zone is cut off", { cutsZones: true }, FEW],
    ["a tenth of the messages get lost", { messageLoss: 0.1 }, FEW],
    ["three tenths of the messages get lost", { messageLoss: 0.3 }, MANY],
    ["entries lose all messages for 0.3 s", { hasLossBursts: true }, FEW],
  ])("go on while %s", (_name, faults, { entryCount }) => {
    const { mixed, resumed, wentOn } = play(policies.stored, {
      entryCount,
      seeds: entryCount < 100 ? 4 : 1,
      duration: FAULT_DURATION_MS,
      faults,
    });
    expect(mixed).toBe(0);
    expect(resumed).toBeGreaterThan(100);
    expect(wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
  });

  test.each([["12 entries", FEW], ["200 entries", MANY]])(
    "go on at least half as often as new ones begin while most entries are killed together: %s",
    (_name, { entryCount }) => {
      const { mixed, begun, cutWentOn } = play(policies.stored, {
        entryCount,
        seeds: 1,
        duration: FAULT_DURATION_MS,
        faults: { killedShare: 0.75 },
      });
      expect(mixed).toBe(0);
      expect(cutWentOn).toBeGreaterThanOrEqual(begun / 2);
    },
  );

  test.each<[string, Partial<OriginScenario>]>([
    ["", {}],
    [", and one disk is lost", { losesDisk: true }],
    [" with the control replicas", { endsReplicas: true }],
    [
      " with the control replicas, and one disk is lost",
      { endsReplicas: true, losesDisk: true },
    ],
  ])("go on after all entries are killed together%s", (_name, faults) => {
    for (const { entryCount } of [FEW, MANY]) {
      const { mixed, cut, cutWentOn } = play(policies.stored, {
        entryCount,
        seeds: 1,
        duration: FAULT_DURATION_MS,
        faults: { killedShare: 1, ...faults },
      });
      expect(mixed).toBe(0);
      expect(cut).toBeGreaterThan(100);
      expect(cutWentOn).toBeGreaterThanOrEqual(MIN_SHARE_AFTER_KILL);
    }
  });

  test("go on more often at two replicas than at one or none, as a disk may be lost, too", () => {
    const scale = {
      ...FEW,
      duration: FAULT_DURATION_MS,
      faults: { killedShare: 1, losesDisk: true },
    };
    const none = play(policies.heldAndAsked, scale).cutWentOn;
    const one = play(policies.storedOnce, scale).cutWentOn;
    const two = play(policies.stored, scale).cutWentOn;
    expect(none).toBeLessThan(one);
    expect(one).toBeLessThan(two);
  });

  test("go on while callers resume many made-up streams", () => {
    const { mixed, resumed, wentOn } = play(policies.stored, {
      ...FEW,
      seeds: 1,
      duration: MADE_UP_DURATION_MS,
      faults: { inventedPerSecond: 800 },
    });
    expect(mixed).toBe(0);
    expect(resumed).toBeGreaterThan(10);
    expect(wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
  });

  test("go on more often than if entries were only asked", () => {
    const asked = play(policies.askedOnly, MANY);
    const held = play(policies.stored, MANY);
    expect(held.wentOn).toBeGreaterThan(asked.wentOn);
  });

  test("cost fewer messages than if all entries were told", () => {
    const told = play(policies.toldToAll, FEW);
    const held = play(policies.stored, FEW);
    expect(held.messagesPerStream).toBeLessThan(told.messagesPerStream);
    expect(held.wentOn).toBeGreaterThan(told.wentOn);
  });

  test("would mix versions if the version were computed", () => {
    expect(play(policies.computed, { ...FEW, seeds: 1 }).mixed)
      .toBeGreaterThan(0);
  });
});

test("streams cost no datagram once a service has had one version for long", () => {
  const calm = { entryCount: 12, seeds: 4, isCalm: true };
  const { lateMessages, wentOn } = play(policies.stored, calm);
  expect(lateMessages).toBe(0);
  expect(wentOn).toBe(1);
});

describe("streams of a version that joins as entries restart and replies are held up", () => {
  const joined = (policy: OriginPolicy, scale: Scale) =>
    play(policy, {
      ...scale,
      duration: JOINED_MS + 5000,
      isCalm: true,
      faults: joining,
    });

  // Guards against streams that go on at the earlier version at an entry that
  // is out of date.
  test.each([["12 entries", { ...FEW, seeds: 24 }], ["200 entries", MANY]])(
    "never go on at the earlier one: %s",
    (_name, scale) => {
      const { mixed, resumed, wentOn } = joined(policies.stored, scale);
      expect(mixed).toBe(0);
      expect(resumed).toBeGreaterThan(1000);
      expect(wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
    },
  );

  test("would do so if entries trusted replies that had just arrived", () => {
    const trusting = { ...policies.stored, currentBy: "arrival" } as const;
    const { mixed } = joined(trusting, { ...FEW, seeds: 24 });
    expect(mixed).toBeGreaterThan(0);
  });
});

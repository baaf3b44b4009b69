import type { OriginPolicy } from "./origin_policy.ts";
import type { OriginReport } from "./origin_report.ts";
import { SimulatedOrigins } from "./simulated_origins.ts";

/** As entries do it, and other ways to know where a stream began. */
const policies = {
  heldAndAsked: { holders: 3, asks: "all", isComputed: false },
  askedOnly: { holders: 0, asks: "all", isComputed: false },
  toldToAll: { holders: Infinity, asks: "nobody", isComputed: false },
  computed: { holders: 0, asks: "nobody", isComputed: true },
} as const satisfies Record<string, OriginPolicy>;

const DURATION_MS = 200_000;
const FEW = { entryCount: 12, seeds: 12 };
const MANY = { entryCount: 200, seeds: 2 };

/** Share of resumed streams that go on, of those whose version serves. */
const MIN_RESUMED_SHARE = 0.95;

function play(
  policy: OriginPolicy,
  { entryCount, seeds, isCalm = false }: {
    entryCount: number;
    seeds: number;
    /** Whether there is one version, and no fault of an entry. */
    isCalm?: boolean;
  },
) {
  const reports: OriginReport[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    const simulation = new SimulatedOrigins({
      seed,
      entryCount,
      duration: DURATION_MS,
      changesVersions: !isCalm,
      disturbsEntries: !isCalm,
    }, policy);
    reports.push(simulation.run());
  }
  const sum = (pick: (report: OriginReport) => number) =>
    reports.reduce((total, report) => total + pick(report), 0);
  return {
    mixed: sum(({ mixed }) => mixed),
    wentOn: sum(({ wentOn }) => wentOn) / sum(({ resumed }) => resumed),
    messagesPerStream: sum(({ messages }) => messages) /
      sum(({ begun }) => begun),
    lateMessages: sum(({ lateMessages }) => lateMessages),
  };
}

describe("streams that are resumed while versions change and entries fail", () => {
  test.each([["12 entries", FEW], ["200 entries", MANY]])(
    "never go on at another version, and go on at their own: %s",
    (_name, scale) => {
      const { mixed, wentOn } = play(policies.heldAndAsked, scale);
      expect(mixed).toBe(0);
      expect(wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
    },
  );

  test("go on more often than if entries were only asked", () => {
    const asked = play(policies.askedOnly, MANY);
    const held = play(policies.heldAndAsked, MANY);
    expect(held.wentOn).toBeGreaterThan(asked.wentOn);
  });

  test("cost fewer messages than if all entries were told", () => {
    const told = play(policies.toldToAll, FEW);
    const held = play(policies.heldAndAsked, FEW);
    expect(held.messagesPerStream).toBeLessThan(told.messagesPerStream);
    expect(held.wentOn).toBeGreaterThan(told.wentOn);
  });

  test("would mix versions if the version were computed", () => {
    expect(play(policies.computed, { ...FEW, seeds: 1 }).mixed)
      .toBeGreaterThan(0);
  });
});

test("streams cost no message once a service has had one version for long", () => {
  const calm = { entryCount: 12, seeds: 4, isCalm: true };
  const { lateMessages, wentOn } = play(policies.heldAndAsked, calm);
  expect(lateMessages).toBe(0);
  expect(wentOn).toBe(1);
});

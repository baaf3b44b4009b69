import type { DrainPolicy } from "./drain_policy.ts";
import type { DrainReport } from "./drain_report.ts";
import { SimulatedDrains } from "./simulated_drains.ts";

/** As the product does it. */
const BUILT: DrainPolicy = {
  continues: "until_timeout",
  holdsLast: false,
  avoidsVersion: false,
};
const NEVER: DrainPolicy = { ...BUILT, continues: "never" };
const ALWAYS: DrainPolicy = { ...BUILT, continues: "always" };

const FEW = { entries: 12, upstreamsPerVersion: 6, duration: 12_000 };

/** Share of resumed streams that go on, of those that could. */
const MIN_RESUMED_SHARE = 0.95;
const MIN_BEGUN_SHARE = 0.99;

function play(
  policy: DrainPolicy,
  size: { entries: number; upstreamsPerVersion: number; duration: number },
  seeds: number,
) {
  const reports: DrainReport[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    reports.push(new SimulatedDrains({ ...size, seed, policy }).run());
  }
  const sum = (pick: (report: DrainReport) => number) =>
    reports.reduce((total, report) => total + pick(report), 0);
  return {
    broken: {
      overDrain: sum(({ overDrain }) => overDrain),
      plainAtDraining: sum(({ plainAtDraining }) => plainAtDraining),
      twoVersions: sum(({ twoVersions }) => twoVersions),
    },
    acknowledged: sum(({ acknowledged }) => acknowledged),
    begun: sum(({ begun }) => begun) / sum(({ sent }) => sent),
    wentOn: sum(({ wentOn }) => wentOn) / sum(({ continuable }) => continuable),
  };
}

const UNBROKEN = { overDrain: 0, plainAtDraining: 0, twoVersions: 0 };

// Guards against requests that reach upstreams after their drain timeout, now
// that streams go on there.
test.each([
  ["12 entries", FEW, 12],
  ["81 entries", { ...FEW, entries: 81, upstreamsPerVersion: 20 }, 1],
  ["200 entries", {
    entries: 200,
    upstreamsPerVersion: 39,
    duration: 8000,
  }, 1],
])(
  "streams go on at upstreams that drain, and none later than the drain timeout: %s",
  (_name, size, seeds) => {
    const { acknowledged, begun, broken, wentOn } = play(BUILT, size, seeds);
    expect(acknowledged).toBeGreaterThan(0);
    expect(broken).toEqual(UNBROKEN);
    expect(begun).toBeGreaterThanOrEqual(MIN_BEGUN_SHARE);
    expect(wentOn).toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
  },
);

test("more streams go on than if upstreams that drain got none", () => {
  const before = play(NEVER, FEW, 6);
  const built = play(BUILT, FEW, 6);
  expect(before.wentOn).toBeLessThan(MIN_RESUMED_SHARE);
  expect(built.wentOn).toBeGreaterThan(before.wentOn);
});

test("requests would reach upstreams after their drain timeout if nothing bounded them", () => {
  expect(play(ALWAYS, FEW, 6).broken.overDrain).toBeGreaterThan(0);
});

import { assessVersion } from "./assess_version.ts";
import { compareShares } from "./compare_shares.ts";
import { RolloutStage } from "./rollout_stage.ts";
import { simulateRollout, type VersionFault } from "./simulated_rollout.ts";

/** `SEEDS=1000 npx jest simulated_rollout` plays more. */
const SEEDS = Number(process.env["SEEDS"] ?? 12);
const ROLLBACK_MS = 5000;
const EXPOSURE_SHARE = 0.1;
const EXPOSURE_TOLERANCE = 50;

const NO_OUTAGE = { at: Infinity, for: 0 };
const FAULT: VersionFault = {
  share: 0.5,
  kind: "fails",
  from: 0,
  minLoad: 0,
  route: undefined,
};

/** Deployments by their entries, upstreams of a version and requests/s. */
const DEPLOYMENTS = [
  { entries: 12, upstreams: 4, rate: 40 },
  { entries: 86, upstreams: 4, rate: 57 },
  { entries: 86, upstreams: 42, rate: 121 },
  { entries: 200, upstreams: 55, rate: 260 },
  { entries: 430, upstreams: 120, rate: 900 },
];

/** Upstreams of the old version have several requests in flight here. */
const LOADED = { entries: 86, upstreams: 4, rate: 120 };

const VERSION_FAULTS: [
  string,
  VersionFault,
  Partial<Parameters<typeof simulateRollout>[0]>?,
][] = [
  ["fails at once", FAULT],
  ["fails always", { ...FAULT, share: 1 }],
  ["fails later", { ...FAULT, from: 4500 }],
  ["fails under load", { ...FAULT, minLoad: 2 }, LOADED],
  ["fails on one route", { ...FAULT, route: "lookups", share: 0.8 }],
  ["is slow", { ...FAULT, kind: "slow", share: 1 }],
  ["is slow in part", { ...FAULT, kind: "slow" }],
];

function play(
  seed: number,
  options: Partial<Parameters<typeof simulateRollout>[0]> = {},
) {
  return simulateRollout({
    seed,
    ...DEPLOYMENTS[seed % DEPLOYMENTS.length]!,
    duration: 12_000,
    fault: undefined,
    baseFailures: 0.02,
    outage: NO_OUTAGE,
    ...options,
  });
}

describe.each(VERSION_FAULTS)(
  "a version that %s",
  (_name, fault, deployment) => {
    test("is reverted and gets no more requests than allowed", () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const outcome = play(seed, { ...deployment, fault });
        const { stage, exposed, sent, latestAfterFailures } = outcome;
        expect({ seed, stage }).toEqual({ seed, stage: RolloutStage.reverted });
        expect({ seed, exposed, sent }).toEqual({
          seed,
          sent,
          exposed: Math.min(
            exposed,
            sent * EXPOSURE_SHARE + EXPOSURE_TOLERANCE,
          ),
        });
        expect(latestAfterFailures).toBeLessThan(ROLLBACK_MS);
      }
    });
  },
);

test("a good version is completed in time and interrupts no request", () => {
  let completed = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { stage, interrupted } = play(seed);
    completed += stage === RolloutStage.completed ? 1 : 0;
    expect({ seed, interrupted }).toEqual({ seed, interrupted: 0 });
  }
  expect(completed).toBeGreaterThanOrEqual(SEEDS * 0.97);
});

test("a good version of a service that fails often is completed", () => {
  let completed = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { stage } = play(seed, { baseFailures: 0.14, duration: 20_000 });
    completed += stage === RolloutStage.completed ? 1 : 0;
  }
  expect(completed).toBeGreaterThanOrEqual(SEEDS * 0.9);
});

test("a bad version stays within its exposure while there is no leader", () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const outage = { at: 3500, for: 2500 };
    const { stage, exposed, sent } = play(seed, { fault: FAULT, outage });
    expect({ seed, stage }).toEqual({ seed, stage: RolloutStage.reverted });
    expect(exposed).toBeLessThanOrEqual(
      sent * EXPOSURE_SHARE + EXPOSURE_TOLERANCE,
    );
  }
});

test("the sequential test exposes a bad version less than a comparison of shares", () => {
  const exposedBy = (assess: typeof assessVersion) => {
    let exposed = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      exposed += play(seed, { fault: FAULT, assess }).exposed;
    }
    return exposed;
  };
  expect(exposedBy(assessVersion)).toBeLessThan(exposedBy(compareShares));
});

import { type CrashScenario, SimulatedCrashes } from "./simulated_crashes.ts";

const SEEDS = 10;
const MINUTE = 60_000;
const MAX_LATE_SENDS = 3;

/** Harmless requests: frequent ones, and ones that a single caller repeats. */
const harmless = [
  { callers: 6, maxDuration: 200, maxPause: 20 },
  { callers: 8, maxDuration: 4000, maxPause: 50 },
  ...Array.from({ length: 40 }, () => ({
    callers: 1,
    maxDuration: 8000,
    maxPause: 400,
  })),
  ...Array.from({ length: 40 }, () => ({
    callers: 1,
    maxDuration: 1000,
    maxPause: 200,
  })),
].map((request, index) => ({
  ...request,
  name: `harmless ${index}`,
  crashesUpstreams: false,
}));

const calm: Omit<CrashScenario, "seed"> = {
  duration: MINUTE,
  requests: harmless,
  waveShare: 0,
  waveSpread: 0,
  killsProcesses: false,
};

// Guards against rejecting harmless requests that are running where upstreams
// crash for other reasons: a third of a zone is reclaimed every 2.5 s.
test.each([
  ["at once", 0],
  ["over half a second", 500],
  ["over two seconds", 2000],
])(
  "no request is rejected when a third of a zone is reclaimed %s",
  (_, spread) => {
    let waves = 0;
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const outcome = new SimulatedCrashes({
        ...calm,
        seed,
        waveShare: 1 / 3,
        waveSpread: spread,
      }).run();
      expect([seed, outcome.wronglyRejected]).toEqual([seed, 0]);
      waves += outcome.waves;
    }
    expect(waves).toBeGreaterThan(10 * SEEDS);
  },
);

const crashing = ["from one caller", "from several callers"].map((
  name,
  index,
) => ({
  name,
  callers: 1 + 3 * index,
  maxDuration: 0,
  maxPause: 300,
  crashesUpstreams: true,
}));

test.each([
  ["without other failures", false, 0],
  ["while entries and replicas are killed", true, 0],
  ["while upstreams are reclaimed and processes killed", true, 0.2],
])(
  "a request that crashes upstreams is rejected %s",
  (_, killsProcesses, share) => {
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const outcome = new SimulatedCrashes({
        ...calm,
        seed,
        requests: [...harmless, ...crashing],
        killsProcesses,
        waveShare: share,
        waveSpread: 500,
      }).run();
      expect(outcome.crashes).toBeGreaterThanOrEqual(3);
      expect(outcome.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
      expect([seed, outcome.wronglyRejected]).toEqual([seed, 0]);
    }
  },
);

import { type PartScenario, simulateParts } from "./simulated_parts.ts";

const MAX_LATE_SENDS = 3;

const small: Omit<PartScenario, "seed"> = {
  duration: 20_000,
  entryCount: 12,
  upstreamCount: 20,
  requestsPerSecond: 60,
  crashingPerSecond: 0,
  maxAttempts: 1,
  hasCompanion: false,
  waveShare: 0,
  waveSpread: 0,
  disruptsProcesses: false,
  exchangeInterval: 150,
};
const large = {
  ...small,
  duration: 12_000,
  entryCount: 200,
  upstreamCount: 120,
  requestsPerSecond: 300,
  exchangeInterval: 900,
};

type Case = readonly [string, number, Partial<PartScenario>];

const soundCases: readonly Case[] = [
  ["a third of a zone at once", 10, { waveShare: 1 / 3 }],
  ["a zone over half a second", 5, { waveShare: 1, waveSpread: 500 }],
  ["a zone over two seconds", 5, { waveShare: 1, waveSpread: 2000 }],
];

// Guards against refusing parts that many requests share while upstreams end by
// themselves.
test.each(soundCases)(
  "no part is rejected where upstreams end by themselves: %s",
  (_name, seeds, changes) => {
    for (let seed = 1; seed <= seeds; seed += 1) {
      const outcome = simulateParts({ ...small, ...changes, seed });
      expect([seed, outcome.wronglyRejected]).toEqual([seed, 0]);
    }
  },
  60_000,
);

const crashingCases: readonly Case[] = [
  ["alone", 10, {}],
  ["often", 10, { crashingPerSecond: 12 }],
  ["sent to three upstreams each time", 10, { maxAttempts: 3 }],
  ["with a harmless one in all its prompts", 10, { hasCompanion: true }],
  ["while processes restart and are cut off", 10, { disruptsProcesses: true }],
  ["while upstreams end by themselves", 10, {
    disruptsProcesses: true,
    waveShare: 0.3,
    waveSpread: 500,
  }],
  ["200 entries", 3, large],
];

test.each(crashingCases)(
  "a part that crashes upstreams is rejected, nothing else: %s",
  (_name, seeds, changes) => {
    for (let seed = 1; seed <= seeds; seed += 1) {
      const outcome = simulateParts({
        ...small,
        ...changes,
        crashingPerSecond: changes.crashingPerSecond || 5,
        seed,
      });
      expect([seed, outcome.wronglyRejected]).toEqual([seed, 0]);
      expect([seed, outcome.lateSends <= MAX_LATE_SENDS]).toEqual([seed, true]);
      expect(outcome.rejected).toBeGreaterThan(0);
    }
  },
  60_000,
);

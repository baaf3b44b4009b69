import { createSeededRandom } from "@heroncleat/base";
import { SharedRetryBudget } from "./mod.ts";

const settings = {
  window: 10_000,
  ratio: 0.2,
  minRetries: 60,
  minRetriesFrom: 0,
};

describe("the shared retry budget", () => {
  test("grows with the requests of the window and an even share of the minimum", () => {
    const budget = new SharedRetryBudget(settings);
    const tryConsume = () => budget.tryConsume(0, 12);
    expect([tryConsume(), tryConsume(), tryConsume(), tryConsume()]).toEqual([
      true,
      true,
      true,
      true,
    ]);
    expect(tryConsume()).toBe(false);
    for (let request = 0; request < 100; request += 1) {
      budget.recordRequest(0);
    }
    let extra = 0;
    while (tryConsume()) {
      extra += 1;
    }
    expect(extra).toBe(16);
  });

  test("drops retries that have left the window", () => {
    const budget = new SharedRetryBudget(settings);
    while (budget.tryConsume(0, 12)) {
      // Exhausts the budget.
    }
    expect(budget.tryConsume(9000, 12)).toBe(false);
    expect(budget.tryConsume(10_500, 12)).toBe(true);
  });
});

const ENTRIES = 12;
const STEP = 20;
const LENGTH = 30_000;

/**
 * Simulates entries whose upstreams reject every request, so that all allowed
 * retries are sent, while a share of the entries restarts. Returns the maximum
 * ratio of sent to allowed retries in a window.
 */
function simulateRestarts(seed: number): number {
  const random = createSeededRandom(seed);
  const restartedShare = 0.3 + 0.7 * random();
  const restartAt = 11_000 + random() * 10_000;
  const requestsPerSecond = 5 + random() * 100;
  const start = (minRetriesFrom: number) =>
    new SharedRetryBudget({ ...settings, minRetriesFrom });
  const entries = Array.from({ length: ENTRIES }, () => start(0));
  const requests: number[] = [];
  const retries: number[] = [];
  let hasRestarted = false;
  for (let now = 0; now < LENGTH; now += STEP) {
    if (!hasRestarted && now >= restartAt) {
      hasRestarted = true;
      for (let index = 0; index < ENTRIES * restartedShare; index += 1) {
        entries[index] = start(now + settings.window);
      }
    }
    if (random() < requestsPerSecond * STEP / 1000) {
      const entry = entries[Math.floor(random() * ENTRIES)]!;
      requests.push(now);
      entry.recordRequest(now);
      // A restarted entry has no record of the others at first.
      const known = hasRestarted && now < restartAt + 500 ? 1 : ENTRIES;
      while (retries.length < 100_000 && entry.tryConsume(now, known)) {
        retries.push(now);
      }
    }
  }
  return maxUtilization(requests, retries);
}

function maxUtilization(
  requests: readonly number[],
  retries: readonly number[],
): number {
  const { window, ratio, minRetries } = settings;
  let maximum = 0;
  for (let from = 0; from + window <= LENGTH; from += 100) {
    const countIn = (times: readonly number[]) =>
      times.filter((at) => at >= from && at < from + window).length;
    const allowed = ratio * countIn(requests) + minRetries;
    maximum = Math.max(maximum, countIn(retries) / allowed);
  }
  return maximum;
}

// Guards against restarted entries that begin with a full budget although the
// retries of their earlier processes still count.
test(
  "the retry budget holds over all entries while any share of them restarts",
  () => {
    for (let seed = 1; seed <= 1000; seed += 1) {
      expect(simulateRestarts(seed)).toBeLessThanOrEqual(1);
    }
  },
  120_000,
);

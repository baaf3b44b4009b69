import { createSeededRandom } from "@heroncleat/base";
import { SharedRetryBudget } from "./mod.ts";

const settings = { window: 10_000, ratio: 0.2, minRetries: 60 };
/** The share of one of 12 entries. */
const SHARE = 1 / 12;

function consumeAll(budget: SharedRetryBudget, now: number): number {
  let count = 0;
  while (budget.tryConsume(now, SHARE)) {
    count += 1;
  }
  return count;
}

function recordRequests(budget: SharedRetryBudget, until: number): void {
  for (let now = 0; now < until; now += 100) {
    budget.recordRequest(now);
  }
}

describe("the shared retry budget", () => {
  test("allows an even share of the minimum at once", () => {
    const budget = new SharedRetryBudget(() => settings);
    expect(consumeAll(budget, 0)).toBe(5);
  });

  test("allows most of the ratio of steady requests at once, the rest within the window", () => {
    const budget = new SharedRetryBudget(() => settings);
    recordRequests(budget, 40_000);
    const atOnce = consumeAll(budget, 40_000);
    expect(atOnce).toBeGreaterThan(5 + 10);
    let count = atOnce;
    for (let now = 40_000; now < 50_000; now += 100) {
      budget.recordRequest(now);
      count += consumeAll(budget, now);
    }
    expect(count).toBeGreaterThanOrEqual(5 + 18);
    expect(count).toBeLessThanOrEqual(5 + 20);
  });

  test("allows a part of the ratio of requests that have just begun", () => {
    const budget = new SharedRetryBudget(() => settings);
    recordRequests(budget, 5000);
    expect(consumeAll(budget, 5000)).toBe(5 + 1);
  });

  test("counts retries until they have left the whole window", () => {
    const budget = new SharedRetryBudget(() => settings);
    consumeAll(budget, 124);
    expect(budget.hasRetry(10_124, SHARE)).toBe(false);
    expect(budget.tryConsume(10_500, SHARE)).toBe(true);
  });

  test("follows a change of its settings at the next retry", () => {
    let current = settings;
    const budget = new SharedRetryBudget(() => current);
    consumeAll(budget, 20_000);
    current = { ...settings, minRetries: 120 };
    expect(consumeAll(budget, 20_000)).toBe(5);
    current = { ...settings, window: 20_000 };
    expect(budget.hasRetry(20_000, SHARE)).toBe(false);
    expect(budget.hasRetry(39_000, SHARE)).toBe(false);
    expect(budget.hasRetry(41_000, SHARE)).toBe(true);
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
  const start = (minRetriesFrom: number) => ({
    budget: new SharedRetryBudget(() => settings),
    minRetriesFrom,
  });
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
      entry.budget.recordRequest(now);
      // A restarted entry has no record of the others at first.
      const known = hasRestarted && now < restartAt + 500 ? 1 : ENTRIES;
      const share = now < entry.minRetriesFrom ? 0 : 1 / known;
      while (
        retries.length < 100_000 && entry.budget.tryConsume(now, share)
      ) {
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

import { createSeededRandom } from "@heroncleat/base";
import { RetryAllowance } from "./mod.ts";

const settings = {
  window: 10_000,
  ratio: 0.2,
  slack: 60,
  slackFrom: 0,
};

describe("the retry allowance", () => {
  test("grows with the requests of the window and an even share of slack", () => {
    const allowance = new RetryAllowance(settings);
    const take = () => allowance.take(0, 12);
    expect([take(), take(), take(), take()]).toEqual([true, true, true, true]);
    expect(take()).toBe(false);
    for (let request = 0; request < 100; request += 1) {
      allowance.countRequest(0);
    }
    let more = 0;
    while (take()) {
      more += 1;
    }
    expect(more).toBe(16);
  });

  test("forgets what has left the window", () => {
    const allowance = new RetryAllowance(settings);
    while (allowance.take(0, 12)) {
      // Uses the allowance up.
    }
    expect(allowance.take(9000, 12)).toBe(false);
    expect(allowance.take(10_500, 12)).toBe(true);
  });
});

const ENTRIES = 12;
const STEP = 20;
const LENGTH = 30_000;

/**
 * Entries whose upstreams reject every request, so that each is sent once more
 * where that is allowed, and of which some start again in between. Gives the
 * most repeats of a window as a part of what is allowed in it.
 */
function playRestarts(seed: number): number {
  const random = createSeededRandom(seed);
  const share = 0.3 + 0.7 * random();
  const restartAt = 11_000 + random() * 10_000;
  const perSecond = 5 + random() * 100;
  const start = (slackFrom: number) =>
    new RetryAllowance({ ...settings, slackFrom });
  const entries = Array.from({ length: ENTRIES }, () => start(0));
  const requests: number[] = [];
  const repeats: number[] = [];
  let hasRestarted = false;
  for (let now = 0; now < LENGTH; now += STEP) {
    if (!hasRestarted && now >= restartAt) {
      hasRestarted = true;
      for (let place = 0; place < ENTRIES * share; place += 1) {
        entries[place] = start(now + settings.window);
      }
    }
    if (random() < perSecond * STEP / 1000) {
      const entry = entries[Math.floor(random() * ENTRIES)]!;
      requests.push(now);
      entry.countRequest(now);
      // An entry that has just started knows of no other one yet.
      const known = hasRestarted && now < restartAt + 500 ? 1 : ENTRIES;
      while (repeats.length < 100_000 && entry.take(now, known)) {
        repeats.push(now);
      }
    }
  }
  return mostUsed(requests, repeats);
}

function mostUsed(
  requests: readonly number[],
  repeats: readonly number[],
): number {
  const { window, ratio, slack } = settings;
  let most = 0;
  for (let from = 0; from + window <= LENGTH; from += 100) {
    const countIn = (times: readonly number[]) =>
      times.filter((at) => at >= from && at < from + window).length;
    const allowed = ratio * countIn(requests) + slack;
    most = Math.max(most, countIn(repeats) / allowed);
  }
  return most;
}

// Entries that were killed while upstreams rejected half of what they were sent
// started with a whole allowance again, though what they had repeated before
// still counted: all together sent 4.4 times what is allowed in a window, as one that had just
// started knew of no other and took the whole slack for its own.
test(
  "the allowance of all entries holds while any part of them starts again",
  () => {
    for (let seed = 1; seed <= 1000; seed += 1) {
      expect(playRestarts(seed)).toBeLessThanOrEqual(1);
    }
  },
  120_000,
);

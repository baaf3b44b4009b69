import { createSeededRandom } from "@heroncleat/base";
import { overloadRetryDelay } from "./mod.ts";

const OBJECTIVE = 500;

/**
 * Simulates a load at one upstream; gives the shares of requests by outcome.
 */
function simulateLoad(
  options: { load: number; shedsLoad: boolean; seed: number },
) {
  const { load, shedsLoad, seed } = options;
  const random = createSeededRandom(seed);
  let doneAt = 0;
  let onTime = 0;
  let late = 0;
  let refused = 0;
  let now = 0;
  while (now < 12_000) {
    const prefillTime = random() < 0.2 ? 70 : 16;
    // The mean prefill time is 27 ms; arrivals are a Poisson process.
    now += -Math.log(1 - random()) * 26.8 / load;
    const waiting = Math.max(0, doneAt - now);
    const isPrefillSpeedKnown = true;
    const objective = OBJECTIVE;
    const expected = { waiting, prefillTime, objective, isPrefillSpeedKnown };
    if (shedsLoad && overloadRetryDelay(expected) !== undefined) {
      refused += 1;
      continue;
    }
    doneAt = Math.max(now, doneAt) + prefillTime;
    if (doneAt - now + 60 <= OBJECTIVE) {
      onTime += 1;
    } else {
      late += 1;
    }
  }
  const all = onTime + late + refused;
  return { onTime: onTime / all, late: late / all, refused: refused / all };
}

describe("overload shedding", () => {
  test("keeps accepted requests within their objective under overload", () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const before = simulateLoad({ load: 1.6, shedsLoad: false, seed });
      const after = simulateLoad({ load: 1.6, shedsLoad: true, seed });
      expect(before.onTime).toBeLessThan(0.35);
      expect(after.onTime).toBeGreaterThan(0.55);
      expect(after.late).toBeLessThan(0.01);
    }
  });

  test("refuses less than 1 % of a load that the upstream can handle", () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const { refused, onTime } = simulateLoad({
        load: 0.7,
        shedsLoad: true,
        seed,
      });
      expect(refused).toBeLessThan(0.01);
      expect(onTime).toBeGreaterThan(0.98);
    }
  });
});

test("an idle upstream accepts a prompt whose prefill exceeds its objective", () => {
  const delayFor = (waiting: number, prefillTime: number, objective: number) =>
    overloadRetryDelay({
      waiting,
      prefillTime,
      objective,
      isPrefillSpeedKnown: true,
    });
  expect(delayFor(0, 1250, 1000)).toBeUndefined();
  expect(delayFor(900, 1250, 1000)).toBe(500);
  // A tight or already missed objective is no reason to refuse either.
  expect(delayFor(20, 10, 60)).toBeUndefined();
  expect(delayFor(0, 10, -50)).toBeUndefined();
});

test("no request is refused before the prefill speed was measured", () => {
  const expected = { waiting: 900, prefillTime: 80, objective: 800 };
  expect(overloadRetryDelay({ ...expected, isPrefillSpeedKnown: false }))
    .toBeUndefined();
  expect(overloadRetryDelay({ ...expected, isPrefillSpeedKnown: true })).toBe(
    280,
  );
});

import { createSeededRandom } from "@heroncleat/base";
import { prefillTime } from "./prefill_time.ts";
import { PrefillSpeed } from "./prefill_speed.ts";

/**
 * Records first tokens of an engine that prefills `rate` tokens per
 * millisecond, with a random overhead and a share of outliers.
 */
function simulateSpeed(
  options: {
    rate: number;
    requests: number;
    outlierShare?: number;
    seed: number;
  },
): PrefillSpeed {
  const { rate, requests, outlierShare = 0, seed } = options;
  const random = createSeededRandom(seed);
  const speed = new PrefillSpeed();
  const multiple = 50 / rate;
  for (let index = 0; index < requests; index += 1) {
    const tokens = random() < 0.3
      ? 5000 + random() * 4000
      : 800 + random() * 2000;
    const reference = prefillTime(tokens, 5000);
    const overhead = 30 + random() * 12;
    const took = random() < outlierShare
      ? random() * 3000
      : overhead + reference * multiple;
    speed.record({ reference, took });
  }
  return speed;
}

describe("the prefill speed", () => {
  test.each([20, 50, 112, 280])("of %d tokens/ms is estimated", (rate) => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const { measured } = simulateSpeed({ rate, requests: 60, seed });
      expect(measured! / (50 / rate)).toBeGreaterThan(0.75);
      expect(measured! / (50 / rate)).toBeLessThan(1.25);
    }
  });

  test("tolerates 12 % outliers", () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const { measured } = simulateSpeed({
        rate: 112,
        requests: 96,
        outlierShare: 0.12,
        seed,
      });
      expect(measured! / (50 / 112)).toBeGreaterThan(0.6);
      expect(measured! / (50 / 112)).toBeLessThan(1.5);
    }
  });

  test("stays unknown while all prompts have the same length", () => {
    const speed = new PrefillSpeed();
    for (let index = 0; index < 60; index += 1) {
      speed.record({ reference: 40, took: 60 });
    }
    expect(speed.measured).toBeUndefined();
    expect(speed.multiple).toBe(1);
  });

  test("prefers the reported estimate of all entries to its own", () => {
    const speed = simulateSpeed({ rate: 112, requests: 60, seed: 3 });
    speed.setReported(0.5);
    expect(speed.multiple).toBe(0.5);
    expect(speed.measured).not.toBe(0.5);
  });
});

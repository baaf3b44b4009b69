import { createSeededRandom } from "@heroncleat/base";
import { readTime } from "./read_time.ts";
import { ReadingSpeed } from "./reading_speed.ts";

/**
 * First tokens of an engine that reads at `rate` tokens a millisecond, with a
 * start-up time and the steps of other requests between.
 */
function learn(
  options: { rate: number; requests: number; odd?: number; seed: number },
): ReadingSpeed {
  const { rate, requests, odd = 0, seed } = options;
  const random = createSeededRandom(seed);
  const speed = new ReadingSpeed();
  const multiple = 50 / rate;
  for (let made = 0; made < requests; made += 1) {
    const tokens = random() < 0.3
      ? 5000 + random() * 4000
      : 800 + random() * 2000;
    const reference = readTime(tokens, 5000);
    const steps = 30 + random() * 12;
    const took = random() < odd
      ? random() * 3000
      : steps + reference * multiple;
    speed.note({ reference, took });
  }
  return speed;
}

describe("the reading speed", () => {
  test.each([20, 50, 112, 280])("of %d tokens/ms is learned", (rate) => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const { measured } = learn({ rate, requests: 60, seed });
      expect(measured! / (50 / rate)).toBeGreaterThan(0.75);
      expect(measured! / (50 / rate)).toBeLessThan(1.25);
    }
  });

  test("is hardly moved by one odd answer in eight", () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const { measured } = learn({ rate: 112, requests: 96, odd: 0.12, seed });
      expect(measured! / (50 / 112)).toBeGreaterThan(0.6);
      expect(measured! / (50 / 112)).toBeLessThan(1.5);
    }
  });

  test("stays open while all prompts are alike", () => {
    const speed = new ReadingSpeed();
    for (let made = 0; made < 60; made += 1) {
      speed.note({ reference: 40, took: 60 });
    }
    expect(speed.measured).toBeUndefined();
    expect(speed.multiple).toBe(1);
  });

  test("is what all entries together measured, once that is known", () => {
    const speed = learn({ rate: 112, requests: 60, seed: 3 });
    speed.learn(0.5);
    expect(speed.multiple).toBe(0.5);
    expect(speed.measured).not.toBe(0.5);
  });
});

import { createSystemClock } from "./mod.ts";

describe("the clock", () => {
  test("advances by the larger of the monotonic and the wall clock", () => {
    let monotonic = 100;
    let wall = 1_000_000;
    const clock = createSystemClock(() => monotonic, () => wall);
    const start = clock.now();
    monotonic += 50;
    wall += 50;
    expect(clock.now() - start).toBe(50);
    // The VM was suspended: only the wall clock went on.
    wall += 4000;
    expect(clock.now() - start).toBe(4050);
    expect(clock.steady()).toBe(150);
  });

  test("never goes back, so that no lease grows, when the wall clock does", () => {
    let monotonic = 0;
    let wall = 1_000_000;
    const clock = createSystemClock(() => monotonic, () => wall);
    const start = clock.now();
    wall -= 500_000;
    monotonic += 10;
    expect(clock.now() - start).toBe(10);
  });
});

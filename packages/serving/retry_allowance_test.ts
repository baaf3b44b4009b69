import { RetryAllowance } from "./mod.ts";

const settings = { window: 10_000, ratio: 0.2, slack: 60 };

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

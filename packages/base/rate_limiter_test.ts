import { RateLimiter } from "./rate_limiter.ts";

test("tokens are refilled at the rate, up to the burst", () => {
  const limiter = new RateLimiter(10, 2);
  expect(limiter.tryConsume(0, { amount: 2 })).toBe(true);
  expect(limiter.tryConsume(50)).toBe(false);
  expect(limiter.tryConsume(100)).toBe(true);
  expect(limiter.tryConsume(10_000, { amount: 3 })).toBe(false);
});

test("a consumer with a reserve leaves a share of the burst to the others", () => {
  const limiter = new RateLimiter(10, 100);
  let consumed = 0;
  while (limiter.tryConsume(0, { reserve: 0.5 })) {
    consumed += 1;
  }
  expect(consumed).toBe(50);
  expect(limiter.tryConsume(0, { amount: 50 })).toBe(true);
});

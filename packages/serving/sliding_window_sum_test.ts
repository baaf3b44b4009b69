import { SlidingWindowSum } from "./sliding_window_sum.ts";

test("a sliding window sum rounds the start of a partial sum to whole slots", () => {
  const window = new SlidingWindowSum(2000);
  for (let now = 0; now <= 3000; now += 100) {
    window.add(1, now);
  }
  expect(window.sumSince(2500, 3000)).toBe(6);
  expect(window.sumSince(3000, 3000)).toBe(1);
  expect(window.sumSince(-1000, 3000)).toBe(window.sum(3000));
  expect(window.sumSince(2500, 5500)).toBe(0);
});

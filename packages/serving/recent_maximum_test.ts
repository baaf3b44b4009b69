import { RecentMaximum } from "./mod.ts";

test("a recent maximum rises immediately and falls after its window", () => {
  const entries = new RecentMaximum(1, 10_000);
  expect(entries.value).toBe(1);
  entries.record(12, 0);
  entries.record(2, 5000);
  expect(entries.value).toBe(12);
  entries.record(12, 6000);
  entries.record(2, 15_000);
  expect(entries.value).toBe(12);
  entries.record(2, 16_500);
  expect(entries.value).toBe(2);
});

test("a recent maximum falls to the largest value within its window", () => {
  const entries = new RecentMaximum(1, 10_000);
  entries.record(11, 0);
  entries.record(8, 9900);
  entries.record(5, 10_100);
  expect(entries.value).toBe(8);
});

import { RecentMaximum } from "./mod.ts";

test("a recent maximum rises at once and falls after its time", () => {
  const entries = new RecentMaximum(1, 10_000);
  expect(entries.value).toBe(1);
  entries.note(12, 0);
  entries.note(2, 5000);
  expect(entries.value).toBe(12);
  entries.note(12, 6000);
  entries.note(2, 15_000);
  expect(entries.value).toBe(12);
  entries.note(2, 16_500);
  expect(entries.value).toBe(2);
});

import { Latch } from "./latch.ts";

describe("a gate", () => {
  test("lets all through once it opens, and at once from then on", async () => {
    const latch = new Latch();
    const passed: number[] = [];
    const waits = [1, 2].map((place) =>
      latch.wait(60_000).then(() => passed.push(place))
    );
    expect(passed).toEqual([]);
    latch.release();
    await Promise.all(waits);
    await latch.wait(60_000);
    expect(passed).toEqual([1, 2]);
  });

  test("lets a waiter go after its time", async () => {
    const latch = new Latch();
    const startedAt = performance.now();
    await latch.wait(30);
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(25);
  });
});

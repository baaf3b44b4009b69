import { Latch } from "./latch.ts";

describe("a latch", () => {
  test("resolves all waiters on release, and later ones immediately", async () => {
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

  test("resolves a waiter after its timeout", async () => {
    const latch = new Latch();
    const startedAt = performance.now();
    await latch.wait(30);
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(25);
  });
});

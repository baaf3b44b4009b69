import { Gate } from "./gate.ts";

describe("a gate", () => {
  test("lets all through once it opens, and at once from then on", async () => {
    const gate = new Gate();
    const passed: number[] = [];
    const waits = [1, 2].map((place) =>
      gate.wait(60_000).then(() => passed.push(place))
    );
    expect(passed).toEqual([]);
    gate.open();
    await Promise.all(waits);
    await gate.wait(60_000);
    expect(passed).toEqual([1, 2]);
  });

  test("lets a waiter go after its time", async () => {
    const gate = new Gate();
    const startedAt = performance.now();
    await gate.wait(30);
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(25);
  });
});

import fc from "fast-check";
import { byteLimits } from "./byte_limits.ts";
import type { ExceededLimit } from "./exceeded_limit.ts";
import { HeldBytes } from "./held_bytes.ts";

const LIMIT = 1_000_000;

// Guards against an ordinary response that is given up for an endless one.
test("beyond the limit the response that holds the most is given up", () => {
  const held = new HeldBytes(LIMIT);
  const givenUp: [string, ExceededLimit][] = [];
  const holders = ["small", "large", "medium"].map(
    (name) => (exceeded: ExceededLimit) => void givenUp.push([name, exceeded]),
  );
  held.hold(holders[0]!, 100_000);
  held.hold(holders[1]!, 600_000);
  expect(givenUp).toEqual([]);
  held.hold(holders[2]!, 400_000);
  expect(givenUp).toEqual([
    ["large", { shape: "held", bytes: 1_100_000, limit: LIMIT }],
  ]);
  expect(held.total).toBe(500_000);
});

test("the total is what is held beyond small amounts, and never above the limit", () => {
  fc.assert(fc.property(
    fc.array(
      fc.tuple(fc.nat(9), fc.nat(LIMIT), fc.boolean()),
      { maxLength: 200 },
    ),
    (steps) => {
      const held = new HeldBytes(LIMIT);
      const expected = new Map<number, number>();
      const holders = [...Array(10).keys()].map((at) => () =>
        void expected.delete(at)
      );
      for (const [at, bytes, isReleased] of steps) {
        if (isReleased || bytes <= byteLimits.uncounted) {
          expected.delete(at);
        } else {
          expected.set(at, bytes);
        }
        if (isReleased) {
          held.release(holders[at]!);
        } else {
          held.hold(holders[at]!, bytes);
        }
        const sum = [...expected.values()].reduce((a, b) => a + b, 0);
        expect(held.total).toBe(sum);
        expect(held.total).toBeLessThanOrEqual(LIMIT);
      }
    },
  ));
});

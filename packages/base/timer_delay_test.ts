import { createServer } from "node:http";
import { Socket } from "node:net";
import { timerDelay } from "./mod.ts";

// Guards against a time from outside for which Node.js throws or gives up a
// request at once.
test.each([
  [NaN, 2_073_600_000],
  [Infinity, 2_073_600_000],
  [1e308, 2_073_600_000],
  [-Infinity, 0],
  [-1, 0],
  [0.5, 0.5],
  [15_000, 15_000],
])("a time of %d is taken as %d", (time, expected) => {
  expect(timerDelay(time)).toBe(expected);
  expect(() => new Socket().setTimeout(timerDelay(time))).not.toThrow();
  createServer().keepAliveTimeout = timerDelay(time);
});

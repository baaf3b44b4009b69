import type { Clock } from "./clock.ts";

/**
 * Makes the clock of a running process.
 *
 * @public
 */
export function createSystemClock(
  readMonotonic: () => number = () => performance.now(),
  readWall: () => number = () => Date.now(),
): Clock {
  let lastMonotonic = readMonotonic();
  let lastWall = readWall();
  let elapsed = 0;
  return {
    now() {
      const monotonic = readMonotonic();
      const wall = readWall();
      // A wall clock set back gives a negative step, which must not count.
      elapsed += Math.max(monotonic - lastMonotonic, wall - lastWall, 0);
      lastMonotonic = monotonic;
      lastWall = wall;
      return elapsed;
    },
    steady: readMonotonic,
    wall: readWall,
  };
}

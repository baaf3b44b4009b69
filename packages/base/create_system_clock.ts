import { uptime } from "node:os";
import type { Clock } from "./clock.ts";
import type { Milliseconds } from "./milliseconds.ts";
import { SuspensionGauge } from "./suspension_gauge.ts";

/** Where a clock reads time from; the running process's own if left out. */
type TimeSources = {
  /** Time that doesn't count while the VM is suspended. */
  readonly readMonotonic: () => Milliseconds;
  readonly readWall: () => Milliseconds;
  /** Time since the VM's start, which counts then, too. */
  readonly readUptime: () => Milliseconds;
  /** Called when the VM has been suspended for a time. */
  readonly onSuspension: (time: Milliseconds) => void;
};

const OWN: TimeSources = {
  readMonotonic: () => performance.now(),
  readWall: () => Date.now(),
  readUptime: () => uptime() * 1000,
  onSuspension: () => {},
};

/**
 * Makes the clock of a running process.
 *
 * @public
 */
export function createSystemClock(sources: Partial<TimeSources> = {}): Clock {
  const { readMonotonic, readWall, readUptime, onSuspension } = {
    ...OWN,
    ...sources,
  };
  const gauge = new SuspensionGauge(readUptime, onSuspension);
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
    steady() {
      const monotonic = readMonotonic();
      return monotonic + gauge.suspendedFor(monotonic, readWall());
    },
    wall: readWall,
  };
}

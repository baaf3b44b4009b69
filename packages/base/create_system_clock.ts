import { uptime } from "node:os";
import type { Clock } from "./clock.ts";
import type { Milliseconds } from "./milliseconds.ts";
import { SuspensionDetector } from "./suspension_detector.ts";

/** Sources of time; each defaults to the running process's own. */
type TimeSources = {
  /** Stops while the VM is suspended. */
  readonly readMonotonic: () => Milliseconds;
  readonly readWall: () => Milliseconds;
  /** Time since the VM started, including suspensions. */
  readonly readUptime: () => Milliseconds;
  /** Called with the length of each detected suspension. */
  readonly onSuspension: (time: Milliseconds) => void;
};

const SYSTEM_SOURCES: TimeSources = {
  readMonotonic: () => performance.now(),
  readWall: () => Date.now(),
  readUptime: () => uptime() * 1000,
  onSuspension: () => {},
};

/**
 * Creates the clock of the running process.
 *
 * @public
 */
export function createSystemClock(sources: Partial<TimeSources> = {}): Clock {
  const { readMonotonic, readWall, readUptime, onSuspension } = {
    ...SYSTEM_SOURCES,
    ...sources,
  };
  const suspensions = new SuspensionDetector(readUptime, onSuspension);
  let lastMonotonic = readMonotonic();
  let lastWall = readWall();
  let elapsed = 0;
  return {
    now() {
      const monotonic = readMonotonic();
      const wall = readWall();
      // The step is negative if the wall clock was set back.
      elapsed += Math.max(monotonic - lastMonotonic, wall - lastWall, 0);
      lastMonotonic = monotonic;
      lastWall = wall;
      return elapsed;
    },
    steady() {
      const monotonic = readMonotonic();
      return monotonic +
        suspensions.measureSuspendedTime(monotonic, readWall());
    },
    wall: readWall,
  };
}

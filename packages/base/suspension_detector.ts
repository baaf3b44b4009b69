import type { Milliseconds } from "./milliseconds.ts";

/** Smallest jump of the wall clock that is checked for a suspension. */
const MIN_WALL_JUMP: Milliseconds = 200;
/** Accepted difference between two clocks, for delays between the readings. */
const READING_TOLERANCE: Milliseconds = 100;
/** Interval of the checks that uptime and monotonic clock run at one rate. */
const CHECK_INTERVAL: Milliseconds = 1000;
/** Accepted drift, as a fraction of the time since the last check. */
const MAX_DRIFT_RATIO = 0.1;
/**
 * Consecutive failed checks after which the uptime is ignored until a check
 * succeeds. A single check also fails if the process is descheduled between two
 * readings.
 */
const MAX_FAILED_CHECKS = 3;

/**
 * Measures for how long the VM has been suspended. The wall clock jumps also when
 * it is set; the VM's uptime jumps on a suspension only, and is ignored where it
 * drifts, as in some containers.
 *
 * @internal
 */
export class SuspensionDetector {
  readonly #readUptime: () => Milliseconds;
  readonly #onSuspension: (time: Milliseconds) => void;
  #wallOffset: Milliseconds | undefined;
  #uptimeOffset: Milliseconds = 0;
  #lastCheckAt: Milliseconds = 0;
  #failedChecks = 0;
  #suspendedTime: Milliseconds = 0;

  /** @param readUptime Time since the VM started, including suspensions. */
  constructor(
    readUptime: () => Milliseconds,
    onSuspension: (time: Milliseconds) => void,
  ) {
    this.#readUptime = readUptime;
    this.#onSuspension = onSuspension;
  }

  /**
   * Returns the total suspended time. Suspensions are detected by comparing
   * the clock readings with those of an earlier call.
   *
   * @param monotonic Reading of a clock that stops while the VM is suspended.
   */
  measureSuspendedTime(
    monotonic: Milliseconds,
    wall: Milliseconds,
  ): Milliseconds {
    const wallOffset = wall - monotonic;
    if (this.#wallOffset === undefined) {
      this.#wallOffset = wallOffset;
      this.#resetUptimeOffset(monotonic);
      return 0;
    }
    const jump = wallOffset - this.#wallOffset;
    if (jump >= MIN_WALL_JUMP) {
      this.#recordJump(monotonic, jump);
      this.#wallOffset = wallOffset;
    } else if (monotonic - this.#lastCheckAt >= CHECK_INTERVAL) {
      this.#checkUptime(monotonic);
      this.#wallOffset = wallOffset;
    } else if (jump <= -MIN_WALL_JUMP) {
      this.#wallOffset = wallOffset;
    }
    return this.#suspendedTime;
  }

  #recordJump(monotonic: Milliseconds, jump: Milliseconds): void {
    if (this.#failedChecks >= MAX_FAILED_CHECKS) {
      return;
    }
    const suspended = this.#readUptime() - monotonic - this.#uptimeOffset;
    if (Math.abs(suspended - jump) <= READING_TOLERANCE) {
      this.#suspendedTime += suspended;
      this.#onSuspension(suspended);
    }
    this.#resetUptimeOffset(monotonic);
  }

  #checkUptime(monotonic: Milliseconds): void {
    const drift = this.#readUptime() - monotonic - this.#uptimeOffset;
    const passed = monotonic - this.#lastCheckAt;
    const isWithinTolerance =
      Math.abs(drift) <= READING_TOLERANCE + MAX_DRIFT_RATIO * passed;
    this.#failedChecks = isWithinTolerance ? 0 : this.#failedChecks + 1;
    this.#resetUptimeOffset(monotonic);
  }

  #resetUptimeOffset(monotonic: Milliseconds): void {
    this.#uptimeOffset = this.#readUptime() - monotonic;
    this.#lastCheckAt = monotonic;
  }
}

import type { Milliseconds } from "./milliseconds.ts";

/** Least jump of the wall clock that may be a suspension. */
const LEAST_JUMP: Milliseconds = 200;
/** How far a jump and the time of the VM may differ in what they tell of it. */
const TOLERANCE: Milliseconds = 100;
/** Pause between two checks that the time of the VM runs like the process's. */
const CHECK_INTERVAL: Milliseconds = 1000;
/** Part of that by which it may differ. */
const MOST_DRIFT = 0.1;
/**
 * Checks in a row at which it differs before it isn't used: one alone may be
 * a process that waited for the processor between two readings.
 */
const MOST_BAD_CHECKS = 3;

/**
 * Time for which the VM was suspended, since this was made. The wall clock
 * jumps then, as it does when it is set; only the time since the VM's start
 * tells one from the other. Where that is another machine's, as it is in some
 * containers and simulators, it runs unlike the process's clock in between, and
 * no suspension is told from a clock that was set.
 *
 * @internal
 */
export class SuspensionGauge {
  readonly #readUptime: () => Milliseconds;
  readonly #onSuspension: (time: Milliseconds) => void;
  #wallAhead: Milliseconds | undefined;
  #uptimeAhead: Milliseconds = 0;
  #checkedAt: Milliseconds = 0;
  #badChecks = 0;
  #suspended: Milliseconds = 0;

  /** @param readUptime Time since the VM's start. */
  constructor(
    readUptime: () => Milliseconds,
    onSuspension: (time: Milliseconds) => void,
  ) {
    this.#readUptime = readUptime;
    this.#onSuspension = onSuspension;
  }

  /** @param monotonic Time that doesn't count while the VM is suspended. */
  suspendedFor(monotonic: Milliseconds, wall: Milliseconds): Milliseconds {
    const ahead = wall - monotonic;
    if (this.#wallAhead === undefined) {
      this.#wallAhead = ahead;
      this.#restart(monotonic);
      return 0;
    }
    const jump = ahead - this.#wallAhead;
    if (jump >= LEAST_JUMP) {
      this.#noteJump(monotonic, jump);
      this.#wallAhead = ahead;
    } else if (monotonic - this.#checkedAt >= CHECK_INTERVAL) {
      this.#check(monotonic);
      this.#wallAhead = ahead;
    } else if (jump <= -LEAST_JUMP) {
      this.#wallAhead = ahead;
    }
    return this.#suspended;
  }

  #noteJump(monotonic: Milliseconds, jump: Milliseconds): void {
    if (this.#badChecks >= MOST_BAD_CHECKS) {
      return;
    }
    const stood = this.#readUptime() - monotonic - this.#uptimeAhead;
    if (Math.abs(stood - jump) <= TOLERANCE) {
      this.#suspended += stood;
      this.#onSuspension(stood);
    }
    this.#restart(monotonic);
  }

  #check(monotonic: Milliseconds): void {
    const drift = this.#readUptime() - monotonic - this.#uptimeAhead;
    const passed = monotonic - this.#checkedAt;
    const isGood = Math.abs(drift) <= TOLERANCE + MOST_DRIFT * passed;
    this.#badChecks = isGood ? 0 : this.#badChecks + 1;
    this.#restart(monotonic);
  }

  #restart(monotonic: Milliseconds): void {
    this.#uptimeAhead = this.#readUptime() - monotonic;
    this.#checkedAt = monotonic;
  }
}

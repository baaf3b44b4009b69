import type { Milliseconds } from "@heroncleat/base";

/**
 * The period for which entries have had full exchanges with a control replica,
 * which makes it the primary of these entries.
 *
 * @internal
 */
export class PrimaryPeriod {
  readonly #timeout: Milliseconds;
  #startedAt: Milliseconds = -Infinity;
  #reportedAt: Milliseconds = -Infinity;

  /** @param timeout Time without a full exchange after which a period ends. */
  constructor(timeout: Milliseconds) {
    this.#timeout = timeout;
  }

  recordFullReport(now: Milliseconds): void {
    if (!this.isOngoing(now)) {
      this.#startedAt = now;
    }
    this.#reportedAt = now;
  }

  isOngoing(now: Milliseconds): boolean {
    return now - this.#reportedAt < this.#timeout;
  }

  /** Whether all entries that will report have had the time to do so. */
  isSettled(now: Milliseconds): boolean {
    return this.isOngoing(now) && now - this.#startedAt >= this.#timeout;
  }
}

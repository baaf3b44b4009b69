const SECOND = 1000;

/** Lines that may be written, refilled at an even rate. */
export class LineBudget {
  readonly #rate: number;
  readonly #burst: number;
  #left: number;
  #filledAt = 0;
  #dropped = 0;

  /** @param rate Lines a second. @param burst Lines at once. */
  constructor(rate: number, burst: number) {
    this.#rate = rate;
    this.#burst = burst;
    this.#left = burst;
  }

  /** Takes one line at a monotonic time in ms; false when none is left. */
  take(now: number): boolean {
    const gained = (now - this.#filledAt) / SECOND * this.#rate;
    this.#left = Math.min(this.#burst, this.#left + gained);
    this.#filledAt = now;
    if (this.#left < 1) {
      return false;
    }
    this.#left -= 1;
    return true;
  }

  countDropped(): void {
    this.#dropped += 1;
  }

  /** Lines dropped since the last call. */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }
}

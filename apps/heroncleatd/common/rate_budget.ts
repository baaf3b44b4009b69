const SECOND = 1000;

/** A budget of lines or messages that refills at an even rate. */
export class RateBudget {
  readonly #rate: number;
  readonly #burst: number;
  #left: number;
  #filledAt = 0;

  /** @param rate Units a second. @param burst Units at once. */
  constructor(rate: number, burst: number) {
    this.#rate = rate;
    this.#burst = burst;
    this.#left = burst;
  }

  /** Takes units at a monotonic time in ms; false when too few are left. */
  take(now: number, amount = 1): boolean {
    const gained = (now - this.#filledAt) / SECOND * this.#rate;
    this.#left = Math.min(this.#burst, this.#left + gained);
    this.#filledAt = now;
    if (this.#left < amount) {
      return false;
    }
    this.#left -= amount;
    return true;
  }
}

const MS_PER_SECOND = 1000;

/** A token bucket that refills at a constant rate. @public */
export class RateLimiter {
  readonly #rate: number;
  readonly #burst: number;
  #available: number;
  #refilledAt = 0;

  /**
   * @param rate Tokens refilled per second.
   * @param burst Capacity of the bucket.
   */
  constructor(rate: number, burst: number) {
    this.#rate = rate;
    this.#burst = burst;
    this.#available = burst;
  }

  /**
   * Consumes tokens if enough are available.
   *
   * @param now Monotonic time in ms.
   * @param options.reserve Share of the burst that is left to other consumers.
   * @returns Whether the tokens were consumed.
   */
  tryConsume(
    now: number,
    { amount = 1, reserve = 0 }: {
      amount?: number | undefined;
      reserve?: number | undefined;
    } = {},
  ): boolean {
    const refill = (now - this.#refilledAt) / MS_PER_SECOND * this.#rate;
    this.#available = Math.min(this.#burst, this.#available + refill);
    this.#refilledAt = now;
    if (this.#available < amount + reserve * this.#burst) {
      return false;
    }
    this.#available -= amount;
    return true;
  }
}

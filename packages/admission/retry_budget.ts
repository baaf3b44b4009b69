const MAX_SAVED_RETRIES = 100;

/**
 * Limits retries to a share of first attempts, so that retries can't multiply
 * the load on failing upstreams.
 *
 * @public
 */
export class RetryBudget {
  readonly #ratio: number;
  #savedRetries: number;

  constructor(ratio: number, savedRetries = 10) {
    this.#ratio = ratio;
    this.#savedRetries = savedRetries;
  }

  recordFirstAttempt(): void {
    this.#savedRetries = Math.min(
      MAX_SAVED_RETRIES,
      this.#savedRetries + this.#ratio,
    );
  }

  /** Consumes one retry; returns false if the budget is exhausted. */
  tryConsume(): boolean {
    if (this.#savedRetries < 1) {
      return false;
    }
    this.#savedRetries -= 1;
    return true;
  }
}

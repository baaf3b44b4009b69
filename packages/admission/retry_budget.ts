/** Retries that may be saved up. */
const MOST_SAVED = 100;

/**
 * Bounds retries to a share of first attempts, so that failing upstreams
 * aren't sent a multiple of their load.
 *
 * @public
 */
export class RetryBudget {
  readonly #ratio: number;
  #saved: number;

  constructor(ratio: number, saved = 10) {
    this.#ratio = ratio;
    this.#saved = saved;
  }

  firstAttempt(): void {
    this.#saved = Math.min(MOST_SAVED, this.#saved + this.#ratio);
  }

  /** Takes one retry from the budget; says whether there was one. */
  take(): boolean {
    if (this.#saved < 1) {
      return false;
    }
    this.#saved -= 1;
    return true;
  }
}

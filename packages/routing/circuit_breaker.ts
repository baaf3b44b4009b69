import type { Milliseconds } from "@heroncleat/base";

/** Settings of a breaker. */
type BreakerSettings = {
  readonly failuresToOpen: number;
  readonly openTime: Milliseconds;
  readonly mostOpenTime: Milliseconds;
};

/**
 * Leaves an upstream alone after failures in a row, then lets one request
 * through to see whether it has recovered.
 *
 * @internal
 */
export class CircuitBreaker {
  readonly #settings: BreakerSettings;
  #failures = 0;
  #openings = 0;
  #openUntil: Milliseconds = 0;
  #trialRunning = false;

  constructor(settings: BreakerSettings) {
    this.#settings = settings;
  }

  allows(now: Milliseconds): boolean {
    if (this.#openings === 0) {
      return true;
    }
    return now >= this.#openUntil && !this.#trialRunning;
  }

  /** Notes that a request goes out; behind an opening it is the trial. */
  dispatched(): void {
    if (this.#openings > 0) {
      this.#trialRunning = true;
    }
  }

  succeeded(): void {
    this.#failures = 0;
    this.#openings = 0;
    this.#trialRunning = false;
  }

  /** A request ended without saying anything about the upstream. */
  abandoned(): void {
    this.#trialRunning = false;
  }

  failed(now: Milliseconds): void {
    this.#failures += 1;
    this.#trialRunning = false;
    if (this.#failures < this.#settings.failuresToOpen) {
      return;
    }
    const { openTime, mostOpenTime } = this.#settings;
    const pause = Math.min(mostOpenTime, openTime * 2 ** this.#openings);
    this.#openings += 1;
    this.#openUntil = now + pause;
  }
}

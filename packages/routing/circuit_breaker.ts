import type { Milliseconds } from "@heroncleat/base";

type BreakerSettings = {
  readonly failureThreshold: number;
  readonly openTime: Milliseconds;
  readonly maxOpenTime: Milliseconds;
};

/**
 * Stops requests to an upstream after consecutive failures. After the open
 * time it allows a single trial request (half-open), and closes when a request
 * succeeds.
 *
 * @internal
 */
export class CircuitBreaker {
  readonly #settings: BreakerSettings;
  #consecutiveFailures = 0;
  #consecutiveOpenings = 0;
  #openUntil: Milliseconds = 0;
  #isTrialRunning = false;

  constructor(settings: BreakerSettings) {
    this.#settings = settings;
  }

  allowsRequest(now: Milliseconds): boolean {
    if (this.#consecutiveOpenings === 0) {
      return true;
    }
    return now >= this.#openUntil && !this.#isTrialRunning;
  }

  /** Records a request to the upstream; unless closed, it is the trial. */
  recordDispatch(): void {
    if (this.#consecutiveOpenings > 0) {
      this.#isTrialRunning = true;
    }
  }

  recordSuccess(): void {
    this.#consecutiveFailures = 0;
    this.#consecutiveOpenings = 0;
    this.#isTrialRunning = false;
  }

  /** Records an end that says nothing about the health of the upstream. */
  recordInconclusive(): void {
    this.#isTrialRunning = false;
  }

  recordFailure(now: Milliseconds): void {
    this.#consecutiveFailures += 1;
    this.#isTrialRunning = false;
    if (this.#consecutiveFailures < this.#settings.failureThreshold) {
      return;
    }
    const { openTime, maxOpenTime } = this.#settings;
    const duration = Math.min(
      maxOpenTime,
      openTime * 2 ** this.#consecutiveOpenings,
    );
    this.#consecutiveOpenings += 1;
    this.#openUntil = now + duration;
  }
}

import type { Milliseconds } from "@heroncleat/base";

/** Weight of the newest request in an exponential moving average. */
const SMOOTHING_FACTOR = 0.1;

/**
 * Estimates how long requests run and, by Little's law, how long a queue takes
 * to drain. Times between completions would include idle time and overstate
 * the wait.
 *
 * @internal
 */
export class ServiceTimeEstimate {
  #mean: Milliseconds | undefined;

  recordDuration(duration: Milliseconds): void {
    this.#mean = this.#mean === undefined
      ? duration
      : this.#mean + SMOOTHING_FACTOR * (duration - this.#mean);
  }

  /** Expected time until this many requests have completed. */
  estimateDrainTime(requests: number, capacity: number): Milliseconds {
    return requests * (this.#mean ?? 0) / Math.max(1, capacity);
  }
}

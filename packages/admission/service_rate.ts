import type { Milliseconds } from "@heroncleat/base";

/** Weight of the newest interval. */
const SMOOTHING = 0.05;

/**
 * How fast requests leave, from the times between their ends.
 *
 * @internal
 */
export class ServiceRate {
  #lastEnd: Milliseconds | undefined;
  #interval: Milliseconds | undefined;

  ended(now: Milliseconds): void {
    if (this.#lastEnd !== undefined) {
      const step = now - this.#lastEnd;
      this.#interval = this.#interval === undefined
        ? step
        : this.#interval + SMOOTHING * (step - this.#interval);
    }
    this.#lastEnd = now;
  }

  /** Expected time until this many requests have left. */
  timeFor(requests: number): Milliseconds {
    return requests * (this.#interval ?? 0);
  }
}

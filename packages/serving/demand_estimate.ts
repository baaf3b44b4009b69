import type { Milliseconds } from "@heroncleat/base";

/** Time constant of the moving average of arriving work. */
const AVERAGING_WINDOW: Milliseconds = 6000;
/** Time constant with which the estimate follows a falling load. */
const DECAY_WINDOW: Milliseconds = 12_000;
/**
 * Lower bound of the observation time that the average is divided by, so that a
 * load which has just begun is neither underestimated nor extrapolated.
 */
const MIN_OBSERVATION_TIME: Milliseconds = 1500;

/**
 * Estimates how many engines the prompts of a service keep busy, from a running
 * total of their prefill time. The estimate rises within seconds and falls
 * slowly, as an upstream takes seconds to boot.
 *
 * @internal
 */
export class DemandEstimate {
  #total: Milliseconds | undefined;
  #recordedAt: Milliseconds = 0;
  #average = 0;
  /** When work first arrived. */
  #firstWorkAt: Milliseconds | undefined;
  #engines = 0;

  /** @param total Prefill time of all prompts sent so far. */
  record(total: Milliseconds, now: Milliseconds): void {
    const elapsed = now - this.#recordedAt;
    if (this.#total === undefined || elapsed <= 0) {
      this.#total ??= total;
      this.#recordedAt = now;
      return;
    }
    // A total from another replica may be lower; counting restarts from it.
    const busy = Math.max(0, total - this.#total) / elapsed;
    this.#total = total;
    this.#recordedAt = now;
    const weight = 1 - Math.exp(-elapsed / AVERAGING_WINDOW);
    this.#average += weight * (busy - this.#average);
    const decayed = this.#engines * Math.exp(-elapsed / DECAY_WINDOW);
    if (busy > 0) {
      this.#firstWorkAt ??= now - elapsed;
    }
    this.#engines = Math.max(this.#average / this.#observedShare(now), decayed);
  }

  /** Share of the averaging window in which there was a load. */
  #observedShare(now: Milliseconds): number {
    const observedTime = Math.max(
      MIN_OBSERVATION_TIME,
      now - (this.#firstWorkAt ?? now),
    );
    return 1 - Math.exp(-observedTime / AVERAGING_WINDOW);
  }

  /** Number of engines that prefill keeps busy. */
  get busyEngines(): number {
    return this.#engines;
  }
}

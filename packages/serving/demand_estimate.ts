import type { Milliseconds } from "@heroncleat/base";

/** Time over which work that comes in is averaged. */
const AVERAGED_OVER: Milliseconds = 6000;
/** Time over which the estimate follows a falling load. */
const FALLS_OVER: Milliseconds = 12_000;
/**
 * Time from which the first work that came in is taken to go on. Without it a
 * load that has just begun counted half after 4 s, and a fleet that lost two
 * zones then was not filled up.
 */
const TRUSTED_AFTER: Milliseconds = 1500;

/**
 * How many engines the prompts of a service keep busy, from a running total of
 * the time they take to read. It follows a rise within seconds and a fall
 * slowly, as an upstream takes seconds to boot.
 *
 * @internal
 */
export class DemandEstimate {
  #total: Milliseconds | undefined;
  #at: Milliseconds = 0;
  #average = 0;
  /** When work came in for the first time. */
  #startedAt: Milliseconds | undefined;
  #engines = 0;

  /** @param total Time to read all prompts sent so far, in ms. */
  note(total: Milliseconds, now: Milliseconds): void {
    const elapsed = now - this.#at;
    if (this.#total === undefined || elapsed <= 0) {
      this.#total ??= total;
      this.#at = now;
      return;
    }
    // Another source of the total may know less; it counts from there.
    const busy = Math.max(0, total - this.#total) / elapsed;
    this.#total = total;
    this.#at = now;
    const weight = 1 - Math.exp(-elapsed / AVERAGED_OVER);
    this.#average += weight * (busy - this.#average);
    const kept = this.#engines * Math.exp(-elapsed / FALLS_OVER);
    if (busy > 0) {
      this.#startedAt ??= now - elapsed;
    }
    this.#engines = Math.max(this.#average / this.#knownShare(now), kept);
  }

  /** Part of the averaged time in which there was a load at all. */
  #knownShare(now: Milliseconds): number {
    const known = Math.max(TRUSTED_AFTER, now - (this.#startedAt ?? now));
    return 1 - Math.exp(-known / AVERAGED_OVER);
  }

  /** Engines kept busy by reading prompts. */
  get engines(): number {
    return this.#engines;
  }
}

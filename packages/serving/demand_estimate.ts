import type { Milliseconds } from "@heroncleat/base";

/** Time over which load that comes in is averaged. */
const AVERAGED_OVER: Milliseconds = 6000;
/** Time over which the estimate follows a falling load. */
const FALLS_OVER: Milliseconds = 12_000;

/** What the entries of a system have sent to a service. */
type SentLoad = {
  /** Time to read all prompts sent so far, in ms. */
  readonly readWork: Milliseconds;
  /** Requests under way. */
  readonly requests: number;
};

/**
 * How many engines the prompts of a service keep busy, from a running total of
 * the time they take to read, and how many requests are under way. It follows
 * a rise within seconds and a fall slowly, as an upstream takes seconds to
 * boot.
 *
 * @internal
 */
export class DemandEstimate {
  #before: { readonly load: SentLoad; readonly at: Milliseconds } | undefined;
  readonly #engines = new PeakAverage();
  readonly #requests = new PeakAverage();

  note(load: SentLoad, now: Milliseconds): void {
    if (this.#before === undefined) {
      this.#requests.start(load.requests);
      this.#before = { load, at: now };
      return;
    }
    const elapsed = now - this.#before.at;
    if (elapsed <= 0) {
      return;
    }
    // Another source of the total may have heard less; it counts from there.
    const work = Math.max(0, load.readWork - this.#before.load.readWork);
    this.#engines.note(work / elapsed, elapsed);
    this.#requests.note(load.requests, elapsed);
    this.#before = { load, at: now };
  }

  /** Engines kept busy by reading prompts. */
  get engines(): number {
    return this.#engines.value;
  }

  /** Requests under way. */
  get requests(): number {
    return this.#requests.value;
  }
}

/** An average that falls more slowly than it rises. */
class PeakAverage {
  #average = 0;
  #value = 0;

  get value(): number {
    return this.#value;
  }

  start(value: number): void {
    this.#average = value;
    this.#value = value;
  }

  note(sample: number, elapsed: Milliseconds): void {
    const weight = 1 - Math.exp(-elapsed / AVERAGED_OVER);
    this.#average += weight * (sample - this.#average);
    const kept = this.#value * Math.exp(-elapsed / FALLS_OVER);
    this.#value = Math.max(this.#average, kept);
  }
}

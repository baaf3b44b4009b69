import type { Milliseconds } from "@heroncleat/base";

/** Parts of a window that are dropped one by one. */
const SLOTS = 10;
/** Part of the allowance that is used, as counts are taken at other moments. */
const SAFETY = 0.8;

/** What an allowance is built from. */
type AllowanceSettings = {
  readonly window: Milliseconds;
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed beside that in a window, over all entries. */
  readonly slack: number;
  /**
   * Monotonic time from which this entry may use its part of that: a window
   * after its start, unless nobody sent anything before.
   */
  readonly slackFrom: Milliseconds;
};

/**
 * How many requests of one service this entry may send once more. The bound
 * holds over all entries because each keeps to its part of it.
 *
 * What an earlier process of the entry repeated isn't known and counts on for a
 * window. So its part of the slack is free only a window after the start; until
 * then an entry repeats what its own requests allow. With a whole allowance
 * after each start, entries that start again sent 4.4 times what all may.
 *
 * @public
 */
export class RetryAllowance {
  readonly #settings: AllowanceSettings;
  readonly #requests = new Array<number>(SLOTS).fill(0);
  readonly #repeats = new Array<number>(SLOTS).fill(0);
  #slot = 0;

  constructor(settings: AllowanceSettings) {
    this.#settings = settings;
  }

  countRequest(now: Milliseconds): void {
    this.#advance(now);
    this.#add(this.#requests, 1);
  }

  /** Takes one repeat, if there is one left. */
  take(now: Milliseconds, entries: number): boolean {
    this.#advance(now);
    const { ratio, slack, slackFrom } = this.#settings;
    const freeSlack = now < slackFrom ? 0 : slack;
    const bound = ratio * sum(this.#requests) +
      freeSlack / Math.max(1, entries);
    if (sum(this.#repeats) + 1 > bound * SAFETY) {
      return false;
    }
    this.#add(this.#repeats, 1);
    return true;
  }

  #advance(now: Milliseconds): void {
    const slot = Math.floor(now / (this.#settings.window / SLOTS));
    const passed = Math.min(SLOTS, slot - this.#slot);
    for (let step = 1; step <= passed; step += 1) {
      this.#requests[(slot - passed + step) % SLOTS] = 0;
      this.#repeats[(slot - passed + step) % SLOTS] = 0;
    }
    this.#slot = slot;
  }

  #add(counts: number[], by: number): void {
    const at = this.#slot % SLOTS;
    counts[at] = counts[at]! + by;
  }
}

function sum(counts: readonly number[]): number {
  let total = 0;
  for (const count of counts) {
    total += count;
  }
  return total;
}

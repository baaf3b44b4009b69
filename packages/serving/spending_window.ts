import type { Milliseconds } from "@heroncleat/base";

/** Parts of a window that are dropped one by one. */
const SLOTS = 40;

/**
 * What was spent within the last so many milliseconds. A part of the window
 * counts until all of it has passed, so that the sum is never too small.
 *
 * @internal
 */
export class SpendingWindow {
  readonly #slotLength: Milliseconds;
  /** Amounts by number of the slot, one slot more than a window is long. */
  readonly #amounts = new Array<number>(SLOTS + 1).fill(0);
  #slot = 0;
  #sum = 0;

  constructor(length: Milliseconds) {
    this.#slotLength = length / SLOTS;
  }

  /** Notes an amount; a negative one takes back what was noted lately. */
  add(amount: number, now: Milliseconds): void {
    this.#advance(now);
    const at = this.#slot % this.#amounts.length;
    this.#amounts[at] = this.#amounts[at]! + amount;
    this.#sum += amount;
  }

  sum(now: Milliseconds): number {
    this.#advance(now);
    return this.#sum;
  }

  /** What was noted since a moment of this window, whole parts of it. */
  sumSince(since: Milliseconds, now: Milliseconds): number {
    this.#advance(now);
    const count = this.#amounts.length;
    const first = Math.floor(since / this.#slotLength);
    const passed = Math.min(count - 1, Math.max(0, this.#slot - first));
    let sum = 0;
    for (let back = 0; back <= passed; back += 1) {
      sum += this.#amounts[(this.#slot - back + count) % count]!;
    }
    return sum;
  }

  /** Time until the sum has fallen to a bound; the whole window at most. */
  timeUntil(bound: number, now: Milliseconds): Milliseconds {
    let left = this.sum(now);
    const count = this.#amounts.length;
    for (let step = 1; step <= count; step += 1) {
      if (left <= bound) {
        const reached = (this.#slot + step - 1) * this.#slotLength;
        return Math.max(0, reached - now);
      }
      left -= this.#amounts[(this.#slot + step) % count]!;
    }
    return (this.#slot + count) * this.#slotLength - now;
  }

  /**
   * Tokens that a bucket holds now which was full a window ago and paid for
   * all that was spent since.
   *
   * @param bucket.rate Tokens that come back in a millisecond.
   */
  replay(
    bucket: { readonly burst: number; readonly rate: number },
    now: Milliseconds,
  ): number {
    this.#advance(now);
    const count = this.#amounts.length;
    let level = bucket.burst;
    for (let step = 1; step <= count; step += 1) {
      const spent = this.#amounts[(this.#slot + step) % count]!;
      const passed = step < count
        ? this.#slotLength
        : now - this.#slot * this.#slotLength;
      const gained = bucket.rate * passed;
      level = Math.min(bucket.burst, level + gained) - spent;
    }
    return level;
  }

  #advance(now: Milliseconds): void {
    const slot = Math.floor(now / this.#slotLength);
    const count = this.#amounts.length;
    const passed = Math.min(count, slot - this.#slot);
    for (let step = 1; step <= passed; step += 1) {
      const at = (slot - passed + step) % count;
      this.#sum -= this.#amounts[at]!;
      this.#amounts[at] = 0;
    }
    this.#slot = Math.max(this.#slot, slot);
  }
}

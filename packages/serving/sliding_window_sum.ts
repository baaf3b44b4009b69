import type { Milliseconds } from "@heroncleat/base";

/** Number of slots that a window is divided into. */
const SLOTS = 40;

/**
 * Sum of the amounts in a sliding window, kept by slots. A slot counts until
 * all of it has left the window, so that the sum is never too small.
 *
 * @internal
 */
export class SlidingWindowSum {
  readonly #slotLength: Milliseconds;
  /** Ring buffer of the amounts by slot, one slot longer than the window. */
  readonly #amounts = new Array<number>(SLOTS + 1).fill(0);
  #slot = 0;
  #sum = 0;

  constructor(length: Milliseconds) {
    this.#slotLength = length / SLOTS;
  }

  /** Adds an amount; a negative amount reverts an earlier one. */
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

  /** Sum of the amounts since a time in this window, rounded to whole slots. */
  sumSince(since: Milliseconds, now: Milliseconds): number {
    this.#advance(now);
    const count = this.#amounts.length;
    const firstSlot = Math.floor(since / this.#slotLength);
    const passed = Math.min(count - 1, Math.max(0, this.#slot - firstSlot));
    let sum = 0;
    for (let age = 0; age <= passed; age += 1) {
      sum += this.#amounts[(this.#slot - age + count) % count]!;
    }
    return sum;
  }

  /** Time until the sum falls to a bound; at most the whole window. */
  timeUntil(bound: number, now: Milliseconds): Milliseconds {
    let remaining = this.sum(now);
    const count = this.#amounts.length;
    for (let step = 1; step <= count; step += 1) {
      if (remaining <= bound) {
        const reachedAt = (this.#slot + step - 1) * this.#slotLength;
        return Math.max(0, reachedAt - now);
      }
      remaining -= this.#amounts[(this.#slot + step) % count]!;
    }
    return (this.#slot + count) * this.#slotLength - now;
  }

  /**
   * Replays the window on a token bucket that was full at its start.
   *
   * @param bucket.rate Tokens refilled per millisecond.
   * @returns The tokens in the bucket now.
   */
  replayBucket(
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
      const refilled = bucket.rate * passed;
      level = Math.min(bucket.burst, level + refilled) - spent;
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

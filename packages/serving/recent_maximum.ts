import type { Milliseconds } from "@heroncleat/base";

/**
 * The largest of the numbers noted lately. A replica that has just started
 * knows few entries for a moment; shares are not to grow by that.
 *
 * @public
 */
export class RecentMaximum {
  readonly #kept: Milliseconds;
  #value: number;
  #at: Milliseconds = -Infinity;

  /** @param start The number before any was noted. @param kept For how long. */
  constructor(start: number, kept: Milliseconds) {
    this.#value = start;
    this.#kept = kept;
  }

  note(value: number, now: Milliseconds): void {
    if (value >= this.#value || now - this.#at > this.#kept) {
      this.#value = value;
      this.#at = now;
    }
  }

  get value(): number {
    return this.#value;
  }
}

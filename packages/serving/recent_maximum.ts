import type { Milliseconds } from "@heroncleat/base";

/**
 * Maximum of the recently recorded values. It bridges short drops, such as the
 * few entries that a replica has a record of right after its start.
 *
 * @public
 */
export class RecentMaximum {
  readonly #window: Milliseconds;
  #value: number;
  #recordedAt: Milliseconds = -Infinity;

  /**
   * @param initial Value before the first record.
   * @param window Time for which a maximum is held against lower values.
   */
  constructor(initial: number, window: Milliseconds) {
    this.#value = initial;
    this.#window = window;
  }

  record(value: number, now: Milliseconds): void {
    if (value >= this.#value || now - this.#recordedAt > this.#window) {
      this.#value = value;
      this.#recordedAt = now;
    }
  }

  get value(): number {
    return this.#value;
  }
}

import type { Milliseconds } from "@heroncleat/base";

type RecordedValue = { readonly value: number; readonly at: Milliseconds };

/**
 * Maximum of the values recorded within a window. It bridges short drops, such
 * as the few entries that a replica has a record of right after its start.
 *
 * @public
 */
export class RecentMaximum {
  readonly #window: Milliseconds;
  readonly #initial: number;
  /** Values that no later one reaches, the largest and oldest first. */
  #candidates: RecordedValue[] = [];

  /**
   * @param initial Value before the first record.
   * @param window Time for which a maximum is held against lower values.
   */
  constructor(initial: number, window: Milliseconds) {
    this.#initial = initial;
    this.#window = window;
  }

  record(value: number, now: Milliseconds): void {
    this.#candidates = this.#candidates.filter((candidate) =>
      candidate.value > value && now - candidate.at <= this.#window
    );
    this.#candidates.push({ value, at: now });
  }

  get value(): number {
    return this.#candidates[0]?.value ?? this.#initial;
  }
}

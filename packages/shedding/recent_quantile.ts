import type { Milliseconds } from "@heroncleat/base";

/** Number of the newest values that count. */
const SIZE = 64;
/** Time for which a value counts. */
const RETENTION: Milliseconds = 10_000;
/** Time for which a computed quantile is reused. */
const LIFETIME: Milliseconds = 100;

/** A quantile of the newest values of some measure. @internal */
export class RecentQuantile {
  readonly #quantile: number;
  readonly #values: { value: number; at: Milliseconds }[] = [];
  #next = 0;
  #computed = { value: 0, at: -Infinity };

  constructor(quantile: number) {
    this.#quantile = quantile;
  }

  record(value: number, now: Milliseconds): void {
    this.#values[this.#next] = { value, at: now };
    this.#next = (this.#next + 1) % SIZE;
  }

  /** The quantile; 0 without recent values. */
  value(now: Milliseconds): number {
    if (now - this.#computed.at >= LIFETIME) {
      this.#computed = { value: this.#compute(now), at: now };
    }
    return this.#computed.value;
  }

  #compute(now: Milliseconds): number {
    const recent = this.#values.filter(({ at }) => now - at < RETENTION)
      .map(({ value }) => value).sort((left, right) => left - right);
    return recent[Math.floor(recent.length * this.#quantile)] ?? 0;
  }
}

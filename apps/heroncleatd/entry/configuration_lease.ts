import type { Clock, Milliseconds } from "@heroncleat/base";

/**
 * The time until which this entry may act on its configuration. It is read at
 * the last step before work is taken on or sent out.
 */
export class ConfigurationLease {
  readonly #clock: Clock;
  #validUntil: Milliseconds = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isValid(): boolean {
    return this.#clock.now() < this.#validUntil;
  }

  /** Extends the lease from the moment the confirmed read was asked for. */
  extend(requestedAt: Milliseconds, duration: Milliseconds): void {
    this.#validUntil = Math.max(this.#validUntil, requestedAt + duration);
  }
}

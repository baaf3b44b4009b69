import type { Clock, Milliseconds } from "@heroncleat/base";

/**
 * Lease that permits this entry to act on its configuration. It is checked
 * right before a request is admitted or sent to an upstream.
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

  /** Extends the lease, counted from when the quorum read was requested. */
  extend(requestedAt: Milliseconds, duration: Milliseconds): void {
    this.#validUntil = Math.max(this.#validUntil, requestedAt + duration);
  }
}

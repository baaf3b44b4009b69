import type { Milliseconds } from "@heroncleat/base";
import type { Offer } from "./offer.ts";

/** Consecutive refusals, and the time of the next permitted start. */
type Refusals = { count: number; retryAt: Milliseconds };

/**
 * Exponential backoff per zone and VM class after refused starts.
 *
 * @internal
 */
export class StartBackoff {
  readonly #initial: Milliseconds;
  readonly #max: Milliseconds;
  readonly #refusals = new Map<string, Refusals>();

  constructor(initial: Milliseconds, max: Milliseconds) {
    this.#initial = initial;
    this.#max = max;
  }

  allowsStart(offer: Offer, now: Milliseconds): boolean {
    return now >= (this.#refusals.get(backoffKey(offer))?.retryAt ?? 0);
  }

  recordRefusal(offer: Offer, now: Milliseconds): void {
    const count = (this.#refusals.get(backoffKey(offer))?.count ?? 0) + 1;
    const delay = Math.min(this.#max, this.#initial * 2 ** (count - 1));
    this.#refusals.set(backoffKey(offer), { count, retryAt: now + delay });
  }

  reset(offer: Offer): void {
    this.#refusals.delete(backoffKey(offer));
  }
}

function backoffKey(offer: Offer): string {
  return `${offer.zone}/${offer.vmClass}`;
}

import type { Milliseconds } from "@heroncleat/base";
import type { Offer } from "./offer.ts";

/** Refusals in a row, and until when not to ask. */
type Refusals = { count: number; until: Milliseconds };

/**
 * Leaves a zone and class alone for a while after it refused a start, twice
 * as long after each further refusal.
 *
 * @internal
 */
export class StartBackoff {
  readonly #first: Milliseconds;
  readonly #most: Milliseconds;
  readonly #refusals = new Map<string, Refusals>();

  constructor(first: Milliseconds, most: Milliseconds) {
    this.#first = first;
    this.#most = most;
  }

  allows(offer: Offer, now: Milliseconds): boolean {
    return now >= (this.#refusals.get(keyOf(offer))?.until ?? 0);
  }

  refused(offer: Offer, now: Milliseconds): void {
    const count = (this.#refusals.get(keyOf(offer))?.count ?? 0) + 1;
    const pause = Math.min(this.#most, this.#first * 2 ** (count - 1));
    this.#refusals.set(keyOf(offer), { count, until: now + pause });
  }

  started(offer: Offer): void {
    this.#refusals.delete(keyOf(offer));
  }
}

function keyOf(offer: Offer): string {
  return `${offer.zone}/${offer.vmClass}`;
}

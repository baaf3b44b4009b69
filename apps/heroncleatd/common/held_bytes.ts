import { byteLimits } from "./byte_limits.ts";
import { EndlessShape } from "./endless_shape.ts";
import type { ExceededLimit } from "./exceeded_limit.ts";

/** Ends the response for which bytes are held. */
type GiveUp = (exceeded: ExceededLimit) => void;

/**
 * The bytes that are held for unfinished responses of unknown length. Beyond
 * the limit the response with the most is given up, as endless ones outgrow
 * ordinary ones.
 */
export class HeldBytes {
  readonly #limit: number;
  readonly #held = new Map<GiveUp, number>();
  #total = 0;

  constructor(limit: number = byteLimits.held) {
    this.#limit = limit;
  }

  /** Bytes that are counted now. */
  get total(): number {
    return this.#total;
  }

  /**
   * Sets what is held for a response; small amounts aren't counted.
   *
   * @param giveUp Identifies the response.
   */
  hold(giveUp: GiveUp, bytes: number): void {
    if (bytes <= byteLimits.uncounted) {
      this.release(giveUp);
      return;
    }
    this.#total += bytes - (this.#held.get(giveUp) ?? 0);
    this.#held.set(giveUp, bytes);
    if (this.#total > this.#limit) {
      this.#giveUpLargest();
    }
  }

  /** Holds nothing more for a response. */
  release(giveUp: GiveUp): void {
    const bytes = this.#held.get(giveUp);
    if (bytes !== undefined) {
      this.#held.delete(giveUp);
      this.#total -= bytes;
    }
  }

  #giveUpLargest(): void {
    let largest: { giveUp: GiveUp; bytes: number } | undefined;
    for (const [giveUp, bytes] of this.#held) {
      if (largest === undefined || bytes > largest.bytes) {
        largest = { giveUp, bytes };
      }
    }
    if (largest !== undefined) {
      const bytes = this.#total;
      this.release(largest.giveUp);
      largest.giveUp({
        shape: EndlessShape.held,
        bytes,
        limit: this.#limit,
      });
    }
  }
}

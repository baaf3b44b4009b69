import type { Milliseconds } from "@heroncleat/base";

/**
 * Marks that part of a workspace's requests, by engine time, that is within
 * its share. A large request is within it as soon as there is credit, and later
 * ones pay for it; else small requests would use up the credit first.
 *
 * @internal
 */
export class ShareCounter {
  #credit: Milliseconds = 0;

  /** Whether the next request is within the share. */
  take(work: Milliseconds, share: number): boolean {
    if (share >= 1) {
      this.#credit = 0;
      return true;
    }
    this.#credit += work * share;
    if (this.#credit <= 0) {
      return false;
    }
    this.#credit -= work;
    return true;
  }

  /** Returns the credit of a request within the share that was refused. */
  giveBack(work: Milliseconds): void {
    this.#credit = Math.min(work, this.#credit + work);
  }
}

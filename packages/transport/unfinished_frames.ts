/**
 * Bounds the memory of unfinished frames at all connections of a server. Beyond
 * it, those of which nothing has arrived for longest are given up.
 *
 * @internal
 */
export class UnfinishedFrames {
  readonly #maxBytes: number;
  /** Bytes by the function that gives the frame up; the newest come last. */
  readonly #held = new Map<() => void, number>();
  #totalBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Records what a connection holds now; 0 once it holds nothing. */
  record(giveUp: () => void, heldBytes: number): void {
    this.#remove(giveUp);
    if (heldBytes > 0) {
      this.#held.set(giveUp, heldBytes);
      this.#totalBytes += heldBytes;
    }
    for (const stalled of this.#held.keys()) {
      if (this.#totalBytes <= this.#maxBytes) {
        return;
      }
      this.#remove(stalled);
      stalled();
    }
  }

  #remove(giveUp: () => void): void {
    this.#totalBytes -= this.#held.get(giveUp) ?? 0;
    this.#held.delete(giveUp);
  }
}

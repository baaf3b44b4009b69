/**
 * Numbers the changes of a feed, so that a follower can name the last change it
 * has received and request the later ones.
 *
 * @internal
 */
export class RevisionCounter {
  #value = 0;

  /** The newest revision; 0 before the first change. */
  get value(): number {
    return this.#value;
  }

  next(): number {
    this.#value += 1;
    return this.#value;
  }
}

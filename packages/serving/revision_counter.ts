/**
 * Numbers the changes of a feed, so that whoever follows it can name the last
 * change it knows and be sent those behind it.
 *
 * @internal
 */
export class RevisionCounter {
  #value = 0;

  /** The newest revision; 0 before the first change. */
  get value(): number {
    return this.#value;
  }

  /** Numbers one more change. */
  next(): number {
    this.#value += 1;
    return this.#value;
  }
}

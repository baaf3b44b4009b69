/** The bodies of requests at one server that are being read. */
export class UnfinishedBodies {
  /** Each gives up a body; the oldest comes first. */
  readonly #giveUps = new Set<() => void>();

  /**
   * Adds a body that is being read. Returns a function that removes it.
   *
   * @param giveUp Stops reading it, as late.
   */
  add(giveUp: () => void): () => void {
    this.#giveUps.add(giveUp);
    return () => this.#giveUps.delete(giveUp);
  }

  /**
   * Gives up the body that has been incomplete for longest. Returns whether
   * there was one.
   */
  giveUpOldest(): boolean {
    const [giveUp] = this.#giveUps;
    giveUp?.();
    return giveUp !== undefined;
  }
}

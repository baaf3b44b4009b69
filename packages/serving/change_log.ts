/** A change of something, in the order of revisions. */
type Change = { readonly id: string; readonly revision: number };

/** Superseded changes that are kept beside as many living ones. */
const SPARE_CHANGES = 64;

/**
 * Which things changed behind a revision, at the cost of those that did: the
 * newest change of each, in order.
 *
 * @internal
 */
export class ChangeLog {
  readonly #newest = new Map<string, number>();
  #changes: Change[] = [];

  /** Notes a change; revisions must come in order. */
  note(id: string, revision: number): void {
    this.#newest.set(id, revision);
    this.#changes.push({ id, revision });
    if (this.#changes.length > 2 * this.#newest.size + SPARE_CHANGES) {
      this.#changes = this.#changes.filter((change) => this.#isNewest(change));
    }
  }

  drop(id: string): void {
    this.#newest.delete(id);
  }

  ids(): Iterable<string> {
    return this.#newest.keys();
  }

  /** What changed behind a revision, the oldest change first. */
  since(revision: number): string[] {
    const ids: string[] = [];
    for (let at = this.#changes.length - 1; at >= 0; at -= 1) {
      const change = this.#changes[at]!;
      if (change.revision <= revision) {
        break;
      }
      if (this.#isNewest(change)) {
        ids.push(change.id);
      }
    }
    return ids.reverse();
  }

  #isNewest({ id, revision }: Change): boolean {
    return this.#newest.get(id) === revision;
  }
}

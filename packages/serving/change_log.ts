/** A change of one item. Changes are kept in the order of their revisions. */
type Change = { readonly id: string; readonly revision: number };

/**
 * Superseded changes that are kept beyond the number of items before the log is
 * compacted.
 */
const COMPACTION_SLACK = 64;

/**
 * Tells which items changed after a revision. It keeps the latest change of
 * each item, in order, so that a query takes time proportional to the changes
 * found.
 *
 * @internal
 */
export class ChangeLog {
  readonly #latestRevisions = new Map<string, number>();
  #changes: Change[] = [];

  /** Records a change; revisions must be passed in ascending order. */
  record(id: string, revision: number): void {
    this.#latestRevisions.set(id, revision);
    this.#changes.push({ id, revision });
    if (
      this.#changes.length > 2 * this.#latestRevisions.size + COMPACTION_SLACK
    ) {
      this.#changes = this.#changes.filter((change) => this.#isLatest(change));
    }
  }

  remove(id: string): void {
    this.#latestRevisions.delete(id);
  }

  /** Revision of the latest change of an item; 0 without one. */
  revisionOf(id: string): number {
    return this.#latestRevisions.get(id) ?? 0;
  }

  ids(): Iterable<string> {
    return this.#latestRevisions.keys();
  }

  /**
   * IDs of the items that changed after a revision, the oldest change first.
   */
  idsSince(revision: number): string[] {
    const ids: string[] = [];
    for (let index = this.#changes.length - 1; index >= 0; index -= 1) {
      const change = this.#changes[index]!;
      if (change.revision <= revision) {
        break;
      }
      if (this.#isLatest(change)) {
        ids.push(change.id);
      }
    }
    return ids.reverse();
  }

  #isLatest({ id, revision }: Change): boolean {
    return this.#latestRevisions.get(id) === revision;
  }
}

/** A change of something, in the order of revisions. */
type Change = { readonly id: string; readonly revision: number };

/** Superseded changes that are kept beside as many living ones. */
const COMPACTION_SLACK = 64;

/**
 * Which things changed behind a revision, at the cost of those that did: the
 * newest change of each, in order.
 *
 * @internal
 */
export class ChangeLog {
  readonly #latestRevisions = new Map<string, number>();
  #changes: Change[] = [];

  /** Notes a change; revisions must come in order. */
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

  ids(): Iterable<string> {
    return this.#latestRevisions.keys();
  }

  /** What changed behind a revision, the oldest change first. */
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

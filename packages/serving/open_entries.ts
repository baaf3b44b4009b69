import { ChangeLog } from "./change_log.ts";
import type { EntryChanges } from "./entry_changes.ts";
import type { KnownEntry } from "./known_entry.ts";
import type { RevisionCounter } from "./revision_counter.ts";

/** The last report of an entry. */
type EntryState = {
  readonly entry: KnownEntry;
  readonly isOpen: boolean;
};

/**
 * Entries that callers may be sent to: those that report themselves open and
 * aren't unresponsive. Followers receive changes of the list, so that the start of
 * one entry costs each other one some 60 bytes.
 *
 * @internal
 */
export class OpenEntries {
  readonly #revisions: RevisionCounter;
  readonly #known = new Map<string, EntryState>();
  readonly #changes = new ChangeLog();
  #list: readonly KnownEntry[] | undefined;
  #revision = 0;

  constructor(revisions: RevisionCounter) {
    this.#revisions = revisions;
  }

  /** The revision at which the list last changed. */
  get revision(): number {
    return this.#revision;
  }

  update(entry: KnownEntry, isOpen: boolean): void {
    const known = this.#known.get(entry.name);
    const isListed = known?.isOpen === true;
    const hasChanged = isListed && (
      known.entry.address !== entry.address ||
      String(known.entry.unreachable) !== String(entry.unreachable)
    );
    this.#known.set(entry.name, { entry, isOpen });
    if (isOpen !== isListed || hasChanged) {
      this.#recordChange(entry.name);
    }
  }

  list(): readonly KnownEntry[] {
    this.#list ??= [...this.#known.values()]
      .filter(({ isOpen }) => isOpen)
      .map(({ entry }) => entry);
    return this.#list;
  }

  /** Changes of the list after a revision; undefined if there are none. */
  changesSince(revision: number): EntryChanges | undefined {
    if (this.#revision <= revision) {
      return undefined;
    }
    const opened: KnownEntry[] = [];
    const closed: string[] = [];
    for (const name of this.#changes.idsSince(revision)) {
      const known = this.#known.get(name);
      if (known?.isOpen) {
        opened.push(known.entry);
      } else {
        closed.push(name);
      }
    }
    return { opened, closed };
  }

  /** Closes an unresponsive entry. */
  close(name: string): void {
    const known = this.#known.get(name);
    if (known?.isOpen) {
      this.#known.set(name, { ...known, isOpen: false });
      this.#recordChange(name);
    }
  }

  /**
   * Closes and removes an entry. The change stays in the log for followers that
   * were partitioned meanwhile.
   */
  remove(name: string): void {
    this.close(name);
    this.#known.delete(name);
  }

  #recordChange(name: string): void {
    this.#revision = this.#revisions.next();
    this.#changes.record(name, this.#revision);
    this.#list = undefined;
  }
}

import type { LogEntry } from "@heroncleat/schema";

/**
 * The part of the log that is kept in memory: the entries after the compacted
 * base. Indexes start at 1.
 *
 * @internal
 */
export class ReplicatedLog {
  #baseIndex: number;
  #baseTerm: number;
  #entries: LogEntry[];

  constructor(baseIndex: number, baseTerm: number, entries: LogEntry[]) {
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
    this.#entries = entries;
  }

  get baseIndex(): number {
    return this.#baseIndex;
  }

  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm;
  }

  /** Term of the entry; undefined when it is compacted or missing. */
  termAt(index: number): number | undefined {
    if (index === this.#baseIndex) {
      return this.#baseTerm;
    }
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.#entries[index - this.#baseIndex - 1];
  }

  /** Up to `max` entries, starting at index `from`. */
  slice(from: number, max: number): LogEntry[] {
    const start = from - this.#baseIndex - 1;
    return this.#entries.slice(start, start + max);
  }

  append(entry: LogEntry): void {
    this.#entries.push(entry);
  }

  /** Drops the entry at `from` and all later ones. */
  truncate(from: number): void {
    this.#entries.length = Math.max(0, from - this.#baseIndex - 1);
  }

  /** Drops the entries up to and including `index`. */
  compact(index: number): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.#baseIndex) {
      return;
    }
    this.#entries.splice(0, index - this.#baseIndex);
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Clears the log and continues after a snapshot. */
  reset(index: number, term: number): void {
    this.#baseIndex = index;
    this.#baseTerm = term;
    this.#entries = [];
  }
}

import type { LogEntry } from "@heroncleat/schema";

/**
 * The part of the log that is held in memory: entries behind a compacted
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

  /** Term of the entry, or undefined where it is compacted or missing. */
  termAt(index: number): number | undefined {
    if (index === this.#baseIndex) {
      return this.#baseTerm;
    }
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.#entries[index - this.#baseIndex - 1];
  }

  /** Up to `most` entries from `from` on. */
  slice(from: number, most: number): LogEntry[] {
    const start = from - this.#baseIndex - 1;
    return this.#entries.slice(start, start + most);
  }

  append(entry: LogEntry): void {
    this.#entries.push(entry);
  }

  /** Drops the entry at `from` and all behind it. */
  truncate(from: number): void {
    this.#entries.length = Math.max(0, from - this.#baseIndex - 1);
  }

  /** Forgets entries up to and including `index`. */
  compact(index: number): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.#baseIndex) {
      return;
    }
    this.#entries.splice(0, index - this.#baseIndex);
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Starts anew behind a snapshot. */
  reset(index: number, term: number): void {
    this.#baseIndex = index;
    this.#baseTerm = term;
    this.#entries = [];
  }
}

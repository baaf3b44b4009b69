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
  #entries: LogEntry[] = [];
  /** Encoded size of each entry. */
  #bytes: number[] = [];

  constructor(baseIndex: number, baseTerm: number) {
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
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

  /** Size of an entry as JSON; 0 when it is compacted or missing. */
  bytesAt(index: number): number {
    return this.#bytes[index - this.#baseIndex - 1] ?? 0;
  }

  /**
   * Size in bytes, as JSON, of the entries from index `from` to `to`, both
   * included; Infinity when some of them are compacted.
   */
  bytesBetween(from: number, to: number): number {
    if (from <= this.#baseIndex) {
      return Infinity;
    }
    let bytes = 0;
    for (let index = from; index <= to; index += 1) {
      bytes += this.bytesAt(index);
    }
    return bytes;
  }

  /**
   * Entries from index `from` on within both limits, but at least one if there
   * is any.
   */
  slice(
    from: number,
    limits: { maxEntries: number; maxBytes: number },
  ): LogEntry[] {
    const start = from - this.#baseIndex - 1;
    let end = start;
    let bytes = 0;
    for (const size of this.#bytes.slice(start, start + limits.maxEntries)) {
      bytes += size;
      if (end > start && bytes > limits.maxBytes) {
        break;
      }
      end += 1;
    }
    return this.#entries.slice(start, end);
  }

  /** All entries from index `from` on. */
  entriesFrom(from: number): LogEntry[] {
    return this.#entries.slice(Math.max(0, from - this.#baseIndex - 1));
  }

  append(entry: LogEntry): void {
    this.#entries.push(entry);
    this.#bytes.push(Buffer.byteLength(JSON.stringify(entry)));
  }

  /** Drops the entry at `from` and all later ones. */
  truncate(from: number): void {
    const length = Math.max(0, from - this.#baseIndex - 1);
    this.#entries.length = Math.min(this.#entries.length, length);
    this.#bytes.length = this.#entries.length;
  }

  /** Drops the entries up to and including `index`. */
  compact(index: number): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.#baseIndex) {
      return;
    }
    this.#entries.splice(0, index - this.#baseIndex);
    this.#bytes.splice(0, index - this.#baseIndex);
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Clears the log and continues after a snapshot. */
  reset(index: number, term: number): void {
    this.#baseIndex = index;
    this.#baseTerm = term;
    this.#entries = [];
    this.#bytes = [];
  }
}

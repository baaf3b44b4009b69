import type { Milliseconds } from "@heroncleat/base";
import type { KnownEntry } from "./known_entry.ts";
import { originHolders } from "./origin_holders.ts";
import { OriginSource } from "./origin_source.ts";
import type { StreamOrigin } from "./stream_origin.ts";

/** Entries that are asked for one stream, at most. */
const MAX_ASKED = 24;
/** Time for the best holders to answer before others are asked too. */
const HOLDER_TIMEOUT: Milliseconds = 50;
/** Time after which an entry that hasn't answered is asked again. */
const REPEAT_INTERVAL: Milliseconds = 25;
/** Time after which the search ends. */
const SEARCH_TIMEOUT: Milliseconds = 200;

/** What an entry knows about a stream; undefined if nothing. @public */
export type OriginAnswer =
  | {
    readonly origin: StreamOrigin;
    /** Time since the first event of the stream. */
    readonly age: Milliseconds;
    /** Whether all streams of the route began there. */
    readonly isOnly: boolean;
  }
  | undefined;

/** @public */
export type OriginSearchResult =
  | {
    readonly kind: "found";
    readonly origin: StreamOrigin;
    /** Name of the entry that knows it, or host:port of the control replica. */
    readonly by: string;
    readonly source: OriginSource;
    /** Time since the first event of the stream; 0 if that isn't known. */
    readonly age: Milliseconds;
    /** Whether all streams of the route began there. */
    readonly isOnly?: boolean;
  }
  | {
    readonly kind: "unknown";
    /** Entries that didn't answer, one of which may know it. */
    readonly unanswered: number;
    /** How many were asked; absent if nobody was. */
    readonly asked?: number;
  };

/**
 * A search for the origin of a stream among the other entries, the best of
 * those that hold it first. It ends with the first that knows it, all answers,
 * or a timeout.
 *
 * @public
 */
export class OriginSearch {
  readonly #startedAt: Milliseconds;
  readonly #holders: readonly KnownEntry[];
  readonly #others: readonly KnownEntry[];
  /** When each entry was asked last. */
  readonly #askedAt = new Map<string, Milliseconds>();
  readonly #answered = new Set<string>();
  #found: OriginSearchResult | undefined;

  /** @param entries Open entries without the one that searches. */
  constructor(
    stream: string,
    { entries, now }: { entries: Iterable<KnownEntry>; now: Milliseconds },
  ) {
    const ranked = originHolders.rank(stream, entries);
    this.#startedAt = now;
    this.#holders = ranked.slice(0, originHolders.firstCount);
    this.#others = ranked.slice(originHolders.firstCount, MAX_ASKED);
  }

  /** Whether an entry is one of the holders that are asked first. */
  isHolder(entry: string): boolean {
    return this.#holders.some(({ name }) => name === entry);
  }

  /** Entries to ask now. */
  listDue(now: Milliseconds): KnownEntry[] {
    const due: KnownEntry[] = [];
    for (const entry of this.#listAsked(now)) {
      const askedAt = this.#askedAt.get(entry.name) ?? -Infinity;
      if (
        !this.#answered.has(entry.name) && now - askedAt >= REPEAT_INTERVAL
      ) {
        this.#askedAt.set(entry.name, now);
        due.push(entry);
      }
    }
    return due;
  }

  recordAnswer(entry: string, answer: OriginAnswer): void {
    this.#answered.add(entry);
    if (answer !== undefined) {
      this.#found ??= {
        kind: "found",
        by: entry,
        source: OriginSource.entry,
        ...answer,
      };
    }
  }

  /** Undefined while the search goes on. */
  result(now: Milliseconds): OriginSearchResult | undefined {
    if (this.#found !== undefined) {
      return this.#found;
    }
    const all = [...this.#holders, ...this.#others];
    const unanswered = this.#countUnanswered(all);
    return unanswered === 0 || now - this.#startedAt >= SEARCH_TIMEOUT
      ? { kind: "unknown", unanswered, asked: this.#askedAt.size }
      : undefined;
  }

  #listAsked(now: Milliseconds): readonly KnownEntry[] {
    const asksOthers = now - this.#startedAt >= HOLDER_TIMEOUT ||
      this.#countUnanswered(this.#holders) === 0;
    return asksOthers ? [...this.#holders, ...this.#others] : this.#holders;
  }

  #countUnanswered(entries: readonly KnownEntry[]): number {
    return entries.filter(({ name }) => !this.#answered.has(name)).length;
  }
}

import type { Clock, Milliseconds } from "@heroncleat/base";

/** Share of the limit that large bodies may use together. */
const LARGE_SHARE = 0.75;
/** How long bytes are expected to be held before that was measured. */
const INITIAL_HOLD_TIME: Milliseconds = 700;
/** Weight of the newest time for which bytes were held in their average. */
const AVERAGE_WEIGHT = 0.2;

type BudgetOptions = {
  /** Bytes that may be held together. */
  readonly limit: number;
  /** Bodies beyond this size leave a part of the limit to smaller ones. */
  readonly largeBytes: number;
  readonly clock: Pick<Clock, "steady">;
};

/** Bytes that a body holds. */
export type ByteHold = {
  /** Sets the number of bytes. Returns false, and changes nothing, if it is too high. */
  readonly resize: (bytes: number) => boolean;
  readonly release: () => void;
};

type Entry = { bytes: number; readonly since: Milliseconds };

/** Limits the bytes that bodies hold together. */
export class ByteBudget {
  readonly #options: BudgetOptions;
  readonly #holds = new Set<Entry>();
  #held = 0;
  /** How long bytes were held, as a moving average; undefined if never. */
  #averageTime: Milliseconds | undefined;

  constructor(options: BudgetOptions) {
    this.#options = options;
  }

  /** Bytes that are held now. */
  get held(): number {
    return this.#held;
  }

  /** Holds bytes; undefined if there is no room for them. */
  tryHold(bytes: number): ByteHold | undefined {
    const entry: Entry = { bytes: 0, since: this.#options.clock.steady() };
    return this.#resize(entry, bytes)
      ? {
        resize: (size) => this.#resize(entry, size),
        release: () => this.#release(entry),
      }
      : undefined;
  }

  /** Time after which there should be room for bytes, by what is held now. */
  expectedWait(bytes: number): Milliseconds {
    const now = this.#options.clock.steady();
    const holdTime = this.#averageTime ?? INITIAL_HOLD_TIME;
    let missing = this.#held + bytes - this.#limitFor(bytes);
    // Holds are kept in the order in which they began.
    for (const entry of this.#holds) {
      missing -= entry.bytes;
      if (missing <= 0) {
        return Math.max(0, entry.since + holdTime - now);
      }
    }
    return holdTime;
  }

  #limitFor(bytes: number): number {
    const { limit, largeBytes } = this.#options;
    return bytes > largeBytes ? limit * LARGE_SHARE : limit;
  }

  #resize(entry: Entry, bytes: number): boolean {
    const held = this.#held - entry.bytes + bytes;
    if (bytes > entry.bytes && held > this.#limitFor(bytes)) {
      return false;
    }
    entry.bytes = bytes;
    this.#held = held;
    this.#holds.add(entry);
    return true;
  }

  #release(entry: Entry): void {
    if (!this.#holds.delete(entry)) {
      return;
    }
    this.#held -= entry.bytes;
    const time = this.#options.clock.steady() - entry.since;
    const average = this.#averageTime ?? time;
    this.#averageTime = average + AVERAGE_WEIGHT * (time - average);
  }
}

import type { Milliseconds } from "@heroncleat/base";
import type { PromptPart } from "./prompt_part.ts";

/** Tokens that fit into an engine's memory, where its service names none. */
const DEFAULT_CAPACITY = 500_000;
/** Part of the memory that cached parts take; running requests need some. */
const CACHE_SHARE = 0.75;
/** Parts remembered for one upstream. */
const MOST_PARTS = 2000;

/** The last use of a part. */
type PartUse = {
  /** Tokens that had come in before. */
  readonly tokensBefore: number;
  /** When it was or will be read for the first time. */
  readonly readAt: Milliseconds;
};

/**
 * Which prompt parts an upstream should still have. Engines drop the parts
 * that were used longest ago, so one is kept until as many tokens came in
 * behind its last use as the memory holds.
 *
 * @internal
 */
export class AssumedCache {
  /** By part; the one used longest ago stands first. */
  readonly #uses = new Map<string, PartUse>();
  #tokensIn = 0;

  /** Notes that tokens were read or fetched there. */
  addTokens(tokens: number): void {
    this.#tokensIn += tokens;
  }

  /** Notes that a part was sent there, to be read at a time. */
  notePart(part: string, readAt: Milliseconds): void {
    const known = this.#uses.get(part);
    this.#uses.delete(part);
    this.#uses.set(part, {
      tokensBefore: this.#tokensIn,
      readAt: Math.min(readAt, known?.readAt ?? Infinity),
    });
    if (this.#uses.size > MOST_PARTS) {
      this.#uses.delete(this.#uses.keys().next().value!);
    }
  }

  /** Whether a part is there, or will be once what is due was read. */
  has(part: string, capacity: number = DEFAULT_CAPACITY): boolean {
    const use = this.#uses.get(part);
    return use !== undefined &&
      this.#tokensIn - use.tokensBefore < capacity * CACHE_SHARE;
  }

  /** Whether a part can be fetched from there now. */
  hasRead(
    part: string,
    options: { capacity: number | undefined; now: Milliseconds },
  ): boolean {
    const readAt = this.#uses.get(part)?.readAt ?? Infinity;
    return readAt <= options.now && this.has(part, options.capacity);
  }

  /** Tokens of the parts that are there; the first one missing ends them. */
  countCached(parts: readonly PromptPart[], capacity?: number): number {
    let cached = 0;
    for (const part of parts) {
      if (!this.has(part.id, capacity)) {
        break;
      }
      cached += part.tokens;
    }
    return cached;
  }
}

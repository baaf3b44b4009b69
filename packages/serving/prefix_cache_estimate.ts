import type { Milliseconds } from "@heroncleat/base";
import type { PromptPart } from "./prompt_part.ts";

/** KV cache capacity of an engine whose service configures none. */
const DEFAULT_CAPACITY_TOKENS = 500_000;
/**
 * Share of the KV cache that holds cached parts; the rest serves running
 * requests.
 */
const CACHE_CAPACITY_SHARE = 0.75;
/** Maximum number of parts tracked per upstream. */
const MAX_PARTS = 2000;

/** The last use of a part. */
type PartUse = {
  /** Tokens processed by the upstream before this use. */
  readonly tokensBefore: number;
  /** When the first prefill of the part is complete; may be in the future. */
  readonly prefilledAt: Milliseconds;
};

/**
 * Estimates which prompt parts an upstream still has in its prefix cache.
 * Engines evict the least recently used parts, so a part counts as cached until
 * the tokens processed since its last use fill the cache.
 *
 * @internal
 */
export class PrefixCacheEstimate {
  /** By part id, least recently used first. */
  readonly #uses = new Map<string, PartUse>();
  #processedTokens = 0;

  /** Records tokens that the upstream computes or fetches. */
  addTokens(tokens: number): void {
    this.#processedTokens += tokens;
  }

  /**
   * Records that a part was sent to the upstream.
   *
   * @param prefilledAt When its prefill is expected to be complete.
   */
  recordPart(part: string, prefilledAt: Milliseconds): void {
    const existing = this.#uses.get(part);
    this.#uses.delete(part);
    this.#uses.set(part, {
      tokensBefore: this.#processedTokens,
      prefilledAt: Math.min(prefilledAt, existing?.prefilledAt ?? Infinity),
    });
    if (this.#uses.size > MAX_PARTS) {
      this.#uses.delete(this.#uses.keys().next().value!);
    }
  }

  /**
   * Whether a part is cached, or will be once pending prompts are prefilled.
   */
  has(part: string, capacity: number = DEFAULT_CAPACITY_TOKENS): boolean {
    const use = this.#uses.get(part);
    return use !== undefined &&
      this.#processedTokens - use.tokensBefore <
        capacity * CACHE_CAPACITY_SHARE;
  }

  /** Whether a part is cached already, so that it can be fetched. */
  isPrefilled(
    part: string,
    options: { capacity: number | undefined; now: Milliseconds },
  ): boolean {
    const prefilledAt = this.#uses.get(part)?.prefilledAt ?? Infinity;
    return prefilledAt <= options.now && this.has(part, options.capacity);
  }

  /** Tokens of the longest cached prefix of `parts`. */
  countCachedTokens(parts: readonly PromptPart[], capacity?: number): number {
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

import type { PromptPart } from "@heroncleat/serving";

/**
 * Prompt parts in the memory of an engine that running requests leave. The
 * least recently used ones are evicted first.
 */
export class EnginePrefixCache {
  readonly #memoryTokens: number;
  /** Tokens by part, least recently used first. */
  readonly #parts = new Map<string, number>();
  #reservedTokens = 0;
  #tokens = 0;

  constructor(memoryTokens: number) {
    this.#memoryTokens = memoryTokens;
  }

  has(part: string): boolean {
    return this.#parts.has(part);
  }

  /** Tokens of the longest cached prefix of `parts`. */
  countCachedTokens(parts: readonly PromptPart[]): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      if (!this.#parts.has(id)) {
        break;
      }
      cached += tokens;
    }
    return cached;
  }

  /** Records a use of parts that are prefilled now. */
  record(parts: readonly PromptPart[]): void {
    for (const { id, tokens } of parts) {
      this.#tokens += this.#parts.has(id) ? 0 : tokens;
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    }
    this.#evict();
  }

  /** Leaves room for the running requests. */
  reserve(tokens: number): void {
    this.#reservedTokens = tokens;
    this.#evict();
  }

  #evict(): void {
    for (const [id, tokens] of this.#parts) {
      if (this.#tokens + this.#reservedTokens <= this.#memoryTokens) {
        return;
      }
      this.#parts.delete(id);
      this.#tokens -= tokens;
    }
  }
}

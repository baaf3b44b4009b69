import type { CacheEvent } from "@heroncleat/schema";

/** Factor applied to the confidence when events are missing. */
const GAP_CONFIDENCE_FACTOR = 0.9;
/** Confidence regained with each event that follows without a gap. */
const CONFIDENCE_GAIN_PER_EVENT = 0.05;
/** This entry's own dispatches are known even when events are missing. */
const MIN_CONFIDENCE = 0.5;

/**
 * An estimate of the contents of an upstream's prefix cache. Since events
 * arrive late and may be missing, this entry's own dispatches are recorded
 * too, and a gap in the event sequence lowers the confidence.
 *
 * @internal
 */
export class PrefixCache {
  readonly #maxBlocks: number;
  /** Insertion order is the order of last use. */
  readonly #blocks = new Set<string>();
  #sequence = 0;
  #confidence = 1;

  constructor(maxBlocks: number) {
    this.#maxBlocks = maxBlocks;
  }

  get confidence(): number {
    return this.#confidence;
  }

  /**
   * Returns the share of the blocks, counted from the first, that is expected
   * to be cached, weighted by the confidence.
   */
  cachedShare(prefix: readonly string[]): number {
    if (prefix.length === 0) {
      return 0;
    }
    let cached = 0;
    for (const block of prefix) {
      if (!this.#blocks.has(block)) {
        break;
      }
      cached += 1;
    }
    return cached / prefix.length * this.#confidence;
  }

  /** Adds blocks as the most recently used ones and evicts the oldest. */
  recordBlocks(prefix: readonly string[]): void {
    for (const block of prefix) {
      this.#blocks.delete(block);
      this.#blocks.add(block);
    }
    for (const oldest of this.#blocks) {
      if (this.#blocks.size <= this.#maxBlocks) {
        return;
      }
      this.#blocks.delete(oldest);
    }
  }

  applyEvent(event: CacheEvent): void {
    if (event.sequence <= this.#sequence) {
      return;
    }
    const hasGap = this.#sequence !== 0 &&
      event.sequence !== this.#sequence + 1;
    this.#sequence = event.sequence;
    this.#confidence = hasGap
      ? Math.max(MIN_CONFIDENCE, this.#confidence * GAP_CONFIDENCE_FACTOR)
      : Math.min(1, this.#confidence + CONFIDENCE_GAIN_PER_EVENT);
    switch (event.kind) {
      case "stored":
        this.recordBlocks(event.blocks);
        return;
      case "removed":
        for (const block of event.blocks) {
          this.#blocks.delete(block);
        }
        return;
      case "cleared":
        this.#blocks.clear();
        this.#confidence = 1;
        return;
    }
  }

  /** Resets the estimate, for example after a restart of the upstream. */
  clear(): void {
    this.#blocks.clear();
    this.#sequence = 0;
    this.#confidence = 1;
  }
}

import type { CacheEvent } from "@heroncleat/schema";

/** How much of a belief is left after a gap in the events. */
const TRUST_AFTER_GAP = 0.9;
/** How far each gapless event brings trust back. */
const TRUST_GAIN = 0.05;
/** What this entry sent there itself is known whatever events are lost. */
const LEAST_TRUST = 0.5;

/**
 * What is believed of one upstream's prefix cache. Events come late and with
 * gaps, so the belief also grows by this entry's own dispatches, and a gap
 * lowers the trust in it.
 *
 * @internal
 */
export class PrefixCache {
  readonly #most: number;
  /** Insertion order is the order of last use. */
  readonly #blocks = new Set<string>();
  #sequence = 0;
  #trust = 1;

  constructor(most: number) {
    this.#most = most;
  }

  get trust(): number {
    return this.#trust;
  }

  /** Share of the blocks, from the start on, that are believed cached. */
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
    return cached / prefix.length * this.#trust;
  }

  /** Notes a prompt that was sent there. */
  remember(prefix: readonly string[]): void {
    for (const block of prefix) {
      this.#blocks.delete(block);
      this.#blocks.add(block);
    }
    for (const oldest of this.#blocks) {
      if (this.#blocks.size <= this.#most) {
        return;
      }
      this.#blocks.delete(oldest);
    }
  }

  take(event: CacheEvent): void {
    if (event.sequence <= this.#sequence) {
      return;
    }
    const gap = this.#sequence !== 0 && event.sequence !== this.#sequence + 1;
    this.#sequence = event.sequence;
    this.#trust = gap
      ? Math.max(LEAST_TRUST, this.#trust * TRUST_AFTER_GAP)
      : Math.min(1, this.#trust + TRUST_GAIN);
    switch (event.kind) {
      case "stored":
        this.remember(event.blocks);
        return;
      case "removed":
        for (const block of event.blocks) {
          this.#blocks.delete(block);
        }
        return;
      case "cleared":
        this.#blocks.clear();
        this.#trust = 1;
        return;
    }
  }

  /** Forgets everything, as after a restart of the upstream. */
  clear(): void {
    this.#blocks.clear();
    this.#sequence = 0;
    this.#trust = 1;
  }
}

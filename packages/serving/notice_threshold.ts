import type { Milliseconds } from "@heroncleat/base";

/** Shorter prompts delay others by less than a message costs each entry. */
const LEAST: Milliseconds = 10;
/**
 * Notices a second that an entry should receive at most. Each costs it about
 * 0.1 ms to receive and check, so 60 take 0.6 % of a core, however many entries
 * there are. With notices of all prompts that was proportional to the load of
 * the whole deployment: 243 a second at each of 200 entries.
 */
const MOST_PER_SECOND = 60;
/** Time over which notices are counted before the threshold moves. */
const COUNTED_OVER: Milliseconds = 500;
/** Most by which the threshold moves at once, up or down. */
const LARGEST_STEP = 1.3;
/**
 * Prompts that take longer keep an engine busy for all and are always noticed.
 */
const MOST: Milliseconds = 2000;

/**
 * Which dispatches the other entries are sent a notice of: the longest prompts,
 * as many as every entry can take in. All entries receive the same notices, so
 * they raise and lower their thresholds alike without a message.
 *
 * It answers to loads of many entries, where a notice of each prompt costs more
 * than it gains. A few long prompts make most of the collisions: 200 entries
 * that send notices of a third of their prompts bring first tokens within 1.2
 * times the mean of reporting all, and without notices it is 3 times as long.
 *
 * @public
 */
export class NoticeThreshold {
  #threshold: Milliseconds = LEAST;
  #counted = 0;
  #countedFrom: Milliseconds | undefined;

  /** Shortest reading time of which others are notified now. */
  get readTime(): Milliseconds {
    return this.#threshold;
  }

  /** Whether others are sent a notice; if so, it counts as one of theirs. */
  admits(readTime: Milliseconds, now: Milliseconds): boolean {
    this.#adapt(now);
    const isWorth = readTime >= this.#threshold;
    this.#counted += isWorth ? 1 : 0;
    return isWorth;
  }

  /** Notes that another entry's notice arrived. */
  noteReceived(now: Milliseconds): void {
    this.#adapt(now);
    this.#counted += 1;
  }

  #adapt(now: Milliseconds): void {
    const from = this.#countedFrom ??= now;
    const elapsed = now - from;
    if (elapsed < COUNTED_OVER) {
      return;
    }
    const most = MOST_PER_SECOND * elapsed / 1000;
    const step = Math.min(
      LARGEST_STEP,
      Math.max(1 / LARGEST_STEP, this.#counted / most),
    );
    this.#threshold = Math.min(MOST, Math.max(LEAST, this.#threshold * step));
    this.#counted = 0;
    this.#countedFrom = now;
  }
}

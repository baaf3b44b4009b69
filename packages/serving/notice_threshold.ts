import type { Milliseconds } from "@heroncleat/base";

/**
 * Shorter prefills delay other requests less than their notices load the
 * entries.
 */
const MIN_THRESHOLD: Milliseconds = 10;
/**
 * Maximum rate of notices that an entry should receive, with any number of
 * entries.
 */
const MAX_NOTICES_PER_SECOND = 60;
/** Time over which notices are counted before the threshold is adapted. */
const COUNTING_WINDOW: Milliseconds = 500;
/** Maximum factor by which one step raises or lowers the threshold. */
const MAX_STEP_FACTOR = 1.3;
/** Longer prefills block an engine for every entry and are always announced. */
const MAX_THRESHOLD: Milliseconds = 2000;

/**
 * Decides which dispatches are announced to the other entries: those with the
 * longest prefill, at a rate that every entry can process. All receive the same
 * notices, so their thresholds adapt alike.
 *
 * @public
 */
export class NoticeThreshold {
  #threshold: Milliseconds = MIN_THRESHOLD;
  #counted = 0;
  #windowStart: Milliseconds | undefined;

  /** Shortest prefill time that is announced now. */
  get readTime(): Milliseconds {
    return this.#threshold;
  }

  /**
   * Returns whether to announce a dispatch; if so, it counts towards the rate.
   */
  admit(prefillTime: Milliseconds, now: Milliseconds): boolean {
    this.#adapt(now);
    const isAdmitted = prefillTime >= this.#threshold;
    this.#counted += isAdmitted ? 1 : 0;
    return isAdmitted;
  }

  /** Records a notice of another entry. */
  recordReceived(now: Milliseconds): void {
    this.#adapt(now);
    this.#counted += 1;
  }

  #adapt(now: Milliseconds): void {
    const windowStart = this.#windowStart ??= now;
    const elapsed = now - windowStart;
    if (elapsed < COUNTING_WINDOW) {
      return;
    }
    const maxNotices = MAX_NOTICES_PER_SECOND * elapsed / 1000;
    const factor = Math.min(
      MAX_STEP_FACTOR,
      Math.max(1 / MAX_STEP_FACTOR, this.#counted / maxNotices),
    );
    this.#threshold = Math.min(
      MAX_THRESHOLD,
      Math.max(MIN_THRESHOLD, this.#threshold * factor),
    );
    this.#counted = 0;
    this.#windowStart = now;
  }
}

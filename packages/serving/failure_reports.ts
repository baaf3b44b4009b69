import type { Milliseconds } from "@heroncleat/base";

/** Time within which one report of an upstream suffices for all entries. */
const REPORT_INTERVAL: Milliseconds = 500;
/** Number of upstreams above which old reports are dropped. */
const MAX_UPSTREAMS = 1000;

/**
 * Decides which failures of upstreams an entry reports to the others: the first
 * that any of them meets, and one more each interval while it goes on.
 *
 * @public
 */
export class FailureReports {
  readonly #reportedAt = new Map<string, Milliseconds>();

  /** Whether to report a failure; if so, it counts as reported. */
  admit(upstream: string, now: Milliseconds): boolean {
    const reportedAt = this.#reportedAt.get(upstream) ?? -Infinity;
    if (now - reportedAt < REPORT_INTERVAL) {
      return false;
    }
    this.record(upstream, now);
    return true;
  }

  /** Records the report of another entry. */
  record(upstream: string, now: Milliseconds): void {
    // Reinserted, so that the oldest report comes first.
    this.#reportedAt.delete(upstream);
    this.#reportedAt.set(upstream, now);
    if (this.#reportedAt.size > MAX_UPSTREAMS) {
      for (const oldest of this.#reportedAt.keys()) {
        this.#reportedAt.delete(oldest);
        return;
      }
    }
  }
}

import type { Milliseconds } from "@heroncleat/base";
import { RecentMaximum } from "./recent_maximum.ts";

type LeasedShareSettings = {
  /** Time after a contact for which a share may be used. */
  readonly lease: Milliseconds;
  /** Length of the windows in which what the entries use is summed up. */
  readonly window: Milliseconds;
  /** Whether this process starts with the whole system. */
  readonly isFresh: boolean;
};

/**
 * This entry's even share of something that all entries have in common, under a
 * lease that contacts with the leading replica extend. Shares used within any
 * window add up to one at most.
 *
 * @public
 */
export class LeasedShare {
  readonly #settings: LeasedShareSettings;
  readonly #count: RecentMaximum;
  /** Time before the first use of a new lease. */
  #wait: Milliseconds;
  #leasedAt: Milliseconds | undefined;
  #contactAt: Milliseconds = -Infinity;

  constructor(settings: LeasedShareSettings) {
    this.#settings = settings;
    const { lease, isFresh } = settings;
    this.#count = new RecentMaximum(1, this.#settleTime);
    this.#wait = isFresh ? lease : this.#settleTime;
  }

  /**
   * Records a reply of the leading replica.
   *
   * @param entries Entries that may hold a share, as far as the replica knows.
   */
  recordContact(entries: number, now: Milliseconds): void {
    if (!this.#isLeased(now)) {
      this.#wait = this.#leasedAt === undefined ? this.#wait : this.#settleTime;
      this.#leasedAt = now;
    }
    this.#contactAt = now;
    this.#count.record(entries, now);
  }

  /** The share that may be used now; 0 without a lease. */
  value(now: Milliseconds): number {
    const isUsable = this.#leasedAt !== undefined && this.#isLeased(now) &&
      now >= this.#leasedAt + this.#wait;
    return isUsable ? 1 / this.#count.value : 0;
  }

  /** Number of entries that the share is divided by. */
  get entries(): number {
    return this.#count.value;
  }

  #isLeased(now: Milliseconds): boolean {
    return now - this.#contactAt < this.#settings.lease;
  }

  /**
   * Time after the last contact of an entry until it has lost its share and what
   * it used has left all windows, with another lease for contacts between which
   * replicas may have changed.
   */
  get #settleTime(): Milliseconds {
    const { lease, window } = this.#settings;
    return window + 2 * lease;
  }
}

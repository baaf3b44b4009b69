import type { Milliseconds } from "@heroncleat/base";
import { SlidingWindowSum } from "./sliding_window_sum.ts";

/** Time constant of the moving average of the rate of peer charges. */
const RATE_AVERAGING_WINDOW: Milliseconds = 500;

/** Size and refill rate of a token bucket. */
type BucketLimit = {
  /** Capacity of the bucket in tokens. */
  readonly burst: number;
  /** Tokens refilled per second. */
  readonly rate: number;
  /**
   * Share of the refill that may be spent twice within the tolerated excess.
   */
  readonly spareShare: number;
};

/**
 * The spare share of the refill is usable with more than this share of the
 * entries in reach, which only one side of a partition can have.
 */
const MAJORITY_SHARE = 0.5;

const SECOND: Milliseconds = 1000;

/** Time for which a refill can be revoked. */
const REVOCABLE_WINDOW: Milliseconds = 2000;

/**
 * Charges of all entries to one limit, as known to this entry. While some
 * entries are unreachable, part of the refill is withheld until they report
 * what they spent.
 *
 * @internal
 */
export class QuotaAccount {
  readonly window: SlidingWindowSum;
  /** Recent refills at the full rate. */
  readonly #recentRefills = new SlidingWindowSum(REVOCABLE_WINDOW);
  /** Undefined until this entry first charges the limit. */
  #bucket: BucketLimit | undefined;
  /** Tokens in the bucket if unreachable entries spend their whole share. */
  #level = 0;
  /** Tokens in the bucket if unreachable entries spend nothing. */
  #optimisticLevel = 0;
  #refilledAt: Milliseconds = 0;
  /** Tokens that the other entries spend per millisecond. */
  #peerRate = 0;
  /** Tokens reported by secondary sources since the last full exchange. */
  #secondaryCharges = 0;
  /** Tokens that this entry consumed since the last full exchange. */
  consumedSinceSync = 0;

  /** @param length Length of the quota window. */
  constructor(length: Milliseconds) {
    this.window = new SlidingWindowSum(length);
  }

  get isOpen(): boolean {
    return this.#bucket !== undefined;
  }

  /** Opens the bucket with an initial level. */
  openBucket(level: number, now: Milliseconds): void {
    this.#level = level;
    this.#optimisticLevel = level;
    this.#refilledAt = now;
  }

  /** Records spent tokens; a negative amount is a refund. */
  spend(amount: number, now: Milliseconds): void {
    this.window.add(amount, now);
    if (this.isOpen) {
      this.#level -= amount;
      this.#optimisticLevel -= amount;
    }
  }

  /** Applies the bucket's limit, which a new configuration may change. */
  updateLimit(bucket: BucketLimit): void {
    this.#bucket = bucket;
  }

  /**
   * Refills the bucket up to now.
   *
   * @param share Share of the refill that unreachable entries can't be
   * spending.
   */
  refill(now: Milliseconds, share: number): void {
    if (this.#bucket === undefined) {
      return;
    }
    const { burst, rate, spareShare } = this.#bucket;
    const refilled = (now - this.#refilledAt) * rate / SECOND;
    const usableRefillShare = usableShare(share, spareShare);
    this.#refilledAt = now;
    this.#recentRefills.add(refilled, now);
    this.#level = Math.min(burst, this.#level + refilled * usableRefillShare);
    this.#optimisticLevel += refilled;
    // The charges of unreachable entries haven't been deducted yet.
    if (share >= 1) {
      this.#optimisticLevel = Math.min(burst, this.#optimisticLevel);
    }
  }

  /**
   * Revokes the refill that belonged to entries which turn out to have been
   * unreachable. Until their timeout, the bucket was refilled with their share
   * too.
   *
   * @param span.since When the unreachable entries may have reported last.
   */
  revokeRefill(
    shares: { readonly before: number; readonly after: number },
    span: { readonly since: Milliseconds; readonly now: Milliseconds },
  ): void {
    const spareShare = this.#bucket?.spareShare ?? 0;
    const revokedShare = usableShare(shares.before, spareShare) -
      usableShare(shares.after, spareShare);
    this.#level -= revokedShare *
      this.#recentRefills.sumSince(span.since, span.now);
  }

  /** Tokens in the bucket at the last refill. */
  get level(): number {
    return this.#level;
  }

  /**
   * Restores withheld refill after entries became reachable and reported their
   * charges.
   *
   * @param returnedShare Share of the unreachable entries that returned, 0 to
   * 1.
   */
  restoreRefill(returnedShare: number): void {
    const burst = this.#bucket?.burst ?? Infinity;
    const maxLevel = Math.min(burst, this.#optimisticLevel);
    this.#level += Math.max(0, maxLevel - this.#level) * returnedShare;
  }

  /** Records charges of the other entries that a secondary source reported. */
  recordSecondaryCharges(amount: number): void {
    this.#secondaryCharges += amount;
  }

  /**
   * Updates the rate of the other entries' charges after a full exchange.
   *
   * @param elapsed Time since the last full exchange.
   */
  recordRate(amount: number, elapsed: Milliseconds): void {
    const spent = amount + this.#secondaryCharges;
    const decay = Math.exp(-elapsed / RATE_AVERAGING_WINDOW);
    // Replies that arrive together are averaged; charges reported after a gap
    // were spent over the whole gap.
    const period = elapsed < 1 ? RATE_AVERAGING_WINDOW : elapsed / (1 - decay);
    this.#peerRate = this.#peerRate * decay + spent / period;
    this.#secondaryCharges = 0;
    this.consumedSinceSync = 0;
  }

  /** Tokens that the other entries are expected to spend in a period. */
  forecast(elapsed: Milliseconds): number {
    return this.#peerRate * elapsed;
  }
}

/**
 * Share of the refill that entries which reach `share` of all entries may use.
 */
function usableShare(share: number, spareShare: number): number {
  return share > MAJORITY_SHARE ? Math.min(1, share + spareShare) : share;
}

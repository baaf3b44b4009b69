import type { Milliseconds } from "@heroncleat/base";
import { SpendingWindow } from "./spending_window.ts";

/** Time over which the spending of others is averaged. */
const PACE_OVER: Milliseconds = 500;

/** A bucket's size and refill. */
type BucketLimit = {
  /** Most tokens at once. */
  readonly burst: number;
  /** Tokens that come back in a second. */
  readonly rate: number;
  /** Part of the refill that may be spent twice without harm. */
  readonly spare: number;
};

/**
 * Share of the entries in reach from which the spare part of the refill is
 * handed out: only one side of a partition can have more.
 */
const MOST_ENTRIES = 0.5;

const SECOND: Milliseconds = 1000;

/** Time for which a refill can be taken back. */
const DOUBTED_FOR: Milliseconds = 2000;

/**
 * What all entries spent of one limit, as one entry knows it.
 *
 * While some entries are out of reach, only a share of the refill counts, as
 * they may be using theirs. What they really spent is known once they report
 * again, and the rest of the refill counts then. Without that, an entry that
 * had been cut off for 4 s refused its workspace for 10 s and more, and a
 * workspace that asked for six times its usual got 0.7 of its rate from all
 * entries (charges and refusals of one such day, from its log).
 *
 * @internal
 */
export class QuotaAccount {
  readonly window: SpendingWindow;
  /** Refill of late, as if all of it could be handed out here. */
  readonly #gained = new SpendingWindow(DOUBTED_FOR);
  /** Undefined until this entry was asked to charge something. */
  #bucket: BucketLimit | undefined;
  /** Tokens in the bucket if others out of reach spend all of their share. */
  #level = 0;
  /** Tokens in the bucket if they spend nothing. */
  #fullLevel = 0;
  #filledAt: Milliseconds = 0;
  /** Tokens that the others spend in a millisecond. */
  #othersPace = 0;
  /** Tokens that other sources added since the last whole exchange. */
  #addedBetween = 0;
  /** Tokens that this entry took since the last reply. */
  takenSinceSync = 0;

  /** @param length Time over which spending is judged. */
  constructor(length: Milliseconds) {
    this.window = new SpendingWindow(length);
  }

  get isOpen(): boolean {
    return this.#bucket !== undefined;
  }

  /** Starts to keep a bucket. */
  open(level: number, now: Milliseconds): void {
    this.#level = level;
    this.#fullLevel = level;
    this.#filledAt = now;
  }

  /** Notes what was spent; less than nothing gives back. */
  spend(amount: number, now: Milliseconds): void {
    this.window.add(amount, now);
    if (this.isOpen) {
      this.#level -= amount;
      this.#fullLevel -= amount;
    }
  }

  /** Takes in the bucket's limit, which a configuration may change. */
  follow(bucket: BucketLimit): void {
    this.#bucket = bucket;
  }

  /**
   * Refills the bucket up to now.
   *
   * @param share Part of the refill that surely isn't spent out of reach.
   */
  refill(now: Milliseconds, share: number): void {
    if (this.#bucket === undefined) {
      return;
    }
    const { burst, rate, spare } = this.#bucket;
    const gained = (now - this.#filledAt) * rate / SECOND;
    const usable = usablePart(share, spare);
    this.#filledAt = now;
    this.#gained.add(gained, now);
    this.#level = Math.min(burst, this.#level + gained * usable);
    this.#fullLevel += gained;
    // What others out of reach spend isn't taken off yet.
    if (share >= 1) {
      this.#fullLevel = Math.min(burst, this.#fullLevel);
    }
  }

  /**
   * Takes back what was refilled for entries that turn out to have been out of
   * reach: it takes up to a second to find that out, and an entry that was cut
   * off filled its bucket meanwhile as if nobody else spent anything. It then
   * spent a quarter of the rate for 5 s in the place of a twelfth, and windows
   * of simulated loads held up to 1.29 of what is tolerated.
   *
   * @param since When they may have reported last.
   */
  takeBack(
    shares: { readonly before: number; readonly after: number },
    span: { readonly since: Milliseconds; readonly now: Milliseconds },
  ): void {
    const spare = this.#bucket?.spare ?? 0;
    const part = usablePart(shares.before, spare) -
      usablePart(shares.after, spare);
    this.#level -= part * this.#gained.sumSince(span.since, span.now);
  }

  /** Tokens in the bucket at the last refill. */
  get level(): number {
    return this.#level;
  }

  /**
   * Takes in that entries are in reach again, with all that they spent.
   *
   * @param part Part of those out of reach that are back, from 0 to 1.
   */
  noteReturn(part: number): void {
    const burst = this.#bucket?.burst ?? Infinity;
    const most = Math.min(burst, this.#fullLevel);
    this.#level += Math.max(0, most - this.#level) * part;
  }

  /** Notes what others spent, as other replicas count it. */
  noteBetween(amount: number): void {
    this.#addedBetween += amount;
  }

  /**
   * Takes in what others spent by a whole exchange.
   *
   * @param elapsed Time since the last whole exchange.
   */
  notePace(amount: number, elapsed: Milliseconds): void {
    const spent = amount + this.#addedBetween;
    const kept = Math.exp(-elapsed / PACE_OVER);
    // Two replies may arrive together, so only the average says something; and
    // what arrives after a silence was spent over all of it.
    const over = elapsed < 1 ? PACE_OVER : elapsed / (1 - kept);
    this.#othersPace = this.#othersPace * kept + spent / over;
    this.#addedBetween = 0;
    this.takenSinceSync = 0;
  }

  /** Tokens that the others will have spent in a silence, by their pace. */
  forecast(silence: Milliseconds): number {
    return this.#othersPace * silence;
  }
}

/** Part of the refill that a side with so much of the entries may hand out. */
function usablePart(share: number, spare: number): number {
  return share > MOST_ENTRIES ? Math.min(1, share + spare) : share;
}

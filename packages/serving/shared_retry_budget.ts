import type { Milliseconds } from "@heroncleat/base";
import type { RetryUsage } from "./retry_usage.ts";

/** Number of buckets that a window is divided into. */
const BUCKETS = 10;
/** Share of the budget that is used, as bucketed windows are inexact. */
const SAFETY_FACTOR = 0.8;

/** Settings of a retry budget. */
type RetryBudgetSettings = {
  readonly window: Milliseconds;
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries allowed per window, shared by all entries. */
  readonly minRetries: number;
  /**
   * Monotonic time from which this entry may use its share of `minRetries`: one
   * window after its start, unless the whole system starts with it.
   */
  readonly minRetriesFrom: Milliseconds;
};

/**
 * Retry budget of one service at this entry, which is its share of the common
 * one. A restarted entry uses its share of the minimum a window later, as the
 * retries of its earlier process are unknown.
 *
 * @public
 */
export class SharedRetryBudget {
  readonly #settings: RetryBudgetSettings;
  readonly #requests = new Array<number>(BUCKETS).fill(0);
  readonly #retries = new Array<number>(BUCKETS).fill(0);
  #bucket = 0;

  constructor(settings: RetryBudgetSettings) {
    this.#settings = settings;
  }

  recordRequest(now: Milliseconds): void {
    this.#advance(now);
    this.#add(this.#requests, 1);
  }

  /** Consumes one retry; returns whether one was available. */
  tryConsume(now: Milliseconds, entries: number): boolean {
    const { spent, bound } = this.usage(now, entries);
    if (spent + 1 > bound) {
      return false;
    }
    this.#add(this.#retries, 1);
    return true;
  }

  /** What this entry has spent of its share, and how the bound is made up. */
  usage(now: Milliseconds, entries: number): RetryUsage {
    this.#advance(now);
    const { ratio, minRetries, minRetriesFrom } = this.#settings;
    const requests = sum(this.#requests);
    const fromMinimum = now < minRetriesFrom
      ? 0
      : minRetries / Math.max(1, entries);
    return {
      requests,
      spent: sum(this.#retries),
      fromMinimum,
      bound: (ratio * requests + fromMinimum) * SAFETY_FACTOR,
    };
  }

  #advance(now: Milliseconds): void {
    const bucket = Math.floor(now / (this.#settings.window / BUCKETS));
    const passed = Math.min(BUCKETS, bucket - this.#bucket);
    for (let step = 1; step <= passed; step += 1) {
      this.#requests[(bucket - passed + step) % BUCKETS] = 0;
      this.#retries[(bucket - passed + step) % BUCKETS] = 0;
    }
    this.#bucket = bucket;
  }

  #add(counts: number[], amount: number): void {
    const at = this.#bucket % BUCKETS;
    counts[at] = counts[at]! + amount;
  }
}

function sum(counts: readonly number[]): number {
  let total = 0;
  for (const count of counts) {
    total += count;
  }
  return total;
}

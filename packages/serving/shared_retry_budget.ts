import type { Milliseconds } from "@heroncleat/base";
import type { RetryBudgetSettings } from "./retry_budget_settings.ts";
import type { RetryUsage } from "./retry_usage.ts";

/** Number of slots that a window is divided into. */
const SLOTS = 80;
/**
 * The windows whose requests count, by how much earlier they begin. The weights
 * add up to 1. The current window lets a process that has just started retry.
 */
const REQUEST_WINDOWS = [
  { earlier: 0, weight: 0.2 },
  { earlier: SLOTS / 2, weight: 0.3 },
  { earlier: SLOTS, weight: 0.5 },
] as const;
/** Slots that are kept: a window, the one before it and margins. */
const KEPT_SLOTS = 2 * SLOTS + 32;
/**
 * Slots that may pass until a retry reaches its upstream, and from the time when
 * a caller sends a request until it is recorded.
 */
const DELAY_SLOTS = 2;

/**
 * Retry budget of one service at this entry: in any window, a ratio of the
 * requests in that window and the earlier ones, plus this entry's share of the
 * minimum. See 21-retry-budget.
 *
 * @public
 */
export class SharedRetryBudget {
  readonly #settings: () => RetryBudgetSettings;
  readonly #requests = new Array<number>(KEPT_SLOTS).fill(0);
  readonly #retries = new Array<number>(KEPT_SLOTS).fill(0);
  #window: Milliseconds;
  #slot = 0;

  /** @param settings Read at each use, so that changes take effect at once. */
  constructor(settings: () => RetryBudgetSettings) {
    this.#settings = settings;
    this.#window = settings().window;
  }

  recordRequest(now: Milliseconds): void {
    this.#advance(now);
    this.#requests[ringIndex(this.#slot)]! += 1;
  }

  /**
   * Consumes one retry; must be called when it is sent.
   *
   * @param share This entry's share of the minimum retries.
   * @returns Whether a retry was available.
   */
  tryConsume(now: Milliseconds, share: number): boolean {
    if (!this.hasRetry(now, share)) {
      return false;
    }
    this.#retries[ringIndex(this.#slot)]! += 1;
    return true;
  }

  /** Whether a retry is available now. */
  hasRetry(now: Milliseconds, share: number): boolean {
    const { spent, bound } = this.usage(now, share);
    return spent + 1 <= bound;
  }

  /** The window that allows the fewest further retries. */
  usage(now: Milliseconds, share: number): RetryUsage {
    this.#advance(now);
    const { ratio, minRetries } = this.#settings();
    const fromMinimum = minRetries * share;
    // The last slot in which a window may begin that a retry sent now reaches.
    const latest = this.#slot + DELAY_SLOTS;
    let spent = 0;
    let requests = 0;
    for (const { earlier, weight } of REQUEST_WINDOWS) {
      requests += weight * this.#sumRequests(latest + 1 - earlier);
    }
    let tightest: RetryUsage | undefined;
    let left = Infinity;
    for (let first = latest; first >= this.#slot - SLOTS; first -= 1) {
      spent += this.#retriesIn(first - DELAY_SLOTS);
      for (const { earlier, weight } of REQUEST_WINDOWS) {
        requests += weight * this.#gainedFrom(first - earlier);
      }
      const bound = ratio * requests + fromMinimum;
      if (bound - spent < left) {
        left = bound - spent;
        tightest = { requests, spent, fromMinimum, bound };
      }
    }
    return tightest!;
  }

  /** Requests that callers sent for certain in a window from a slot. */
  #sumRequests(first: number): number {
    let sum = 0;
    for (let at = first + DELAY_SLOTS + 1; at < first + SLOTS; at += 1) {
      sum += this.#requestsIn(at);
    }
    return sum;
  }

  /** The difference between that number and the one from the next slot. */
  #gainedFrom(first: number): number {
    return this.#requestsIn(first + DELAY_SLOTS + 1) -
      this.#requestsIn(first + SLOTS);
  }

  #requestsIn(slot: number): number {
    return slot > this.#slot ? 0 : this.#requests[ringIndex(slot)]!;
  }

  #retriesIn(slot: number): number {
    return this.#retries[ringIndex(slot)]!;
  }

  #advance(now: Milliseconds): void {
    const { window } = this.#settings();
    if (window !== this.#window) {
      this.#changeWindow(window, now);
      return;
    }
    const slot = Math.floor(now / (window / SLOTS));
    const passed = Math.min(KEPT_SLOTS, slot - this.#slot);
    for (let step = 0; step < passed; step += 1) {
      this.#requests[ringIndex(slot - step)] = 0;
      this.#retries[ringIndex(slot - step)] = 0;
    }
    this.#slot = Math.max(slot, this.#slot);
  }

  /** Counts all earlier retries as sent now, and no earlier request. */
  #changeWindow(window: Milliseconds, now: Milliseconds): void {
    const retries = this.#retries.reduce((sum, count) => sum + count, 0);
    this.#window = window;
    this.#slot = Math.floor(now / (window / SLOTS));
    this.#requests.fill(0);
    this.#retries.fill(0);
    this.#retries[ringIndex(this.#slot)] = retries;
  }
}

/** Slots before the monotonic clock's start are negative. */
function ringIndex(slot: number): number {
  return (slot + KEPT_SLOTS) % KEPT_SLOTS;
}

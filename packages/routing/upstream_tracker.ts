import type { Milliseconds } from "@heroncleat/base";
import type { Announcement } from "@heroncleat/schema";
import { CircuitBreaker } from "./circuit_breaker.ts";
import { PrefixCache } from "./prefix_cache.ts";
import type { RoutingSettings } from "./routing_settings.ts";

/** Weight of the newest observation in an exponential moving average. */
const SMOOTHING_FACTOR = 0.2;
const MS_PER_SECOND = 1000;
const MIN_CORRECTION_FACTOR = 0.5;
const MAX_CORRECTION_FACTOR = 3;

type Dispatch = { readonly at: Milliseconds };

/**
 * Tracks one upstream at one entry: its announcement, its load, its prefix
 * cache, its circuit breaker and its latency.
 *
 * @internal
 */
export class UpstreamTracker {
  readonly cache: PrefixCache;
  readonly breaker: CircuitBreaker;
  readonly #dispatches = new Map<string, Dispatch>();
  #announcement: Announcement;
  #reportedAt: Milliseconds;
  /** Requests in the last load report that this entry has since ended. */
  #endedSinceReport = 0;
  /** Moving average of the duration of requests. */
  #serviceTime: Milliseconds = 0;
  /** Moving average of the time between tokens; 0 before the first sample. */
  #measuredInterval: Milliseconds = 0;
  /** Entries that send to this upstream, this one included. */
  #entryCount = 1;
  /** Moving average of measured to estimated time to the first token. */
  #prefillCorrection = 1;

  constructor(
    announcement: Announcement,
    options: { settings: RoutingSettings; now: Milliseconds },
  ) {
    this.#announcement = announcement;
    this.#reportedAt = options.now;
    this.cache = new PrefixCache(options.settings.maxCacheBlocks);
    this.breaker = new CircuitBreaker(options.settings);
  }

  get announcement(): Announcement {
    return this.#announcement;
  }

  /** Time between tokens: measured, or announced while there is no sample. */
  get decodeInterval(): Milliseconds {
    return this.#measuredInterval || this.#announcement.decodeInterval;
  }

  setEntryCount(entryCount: number): void {
    this.#entryCount = Math.max(1, entryCount);
  }

  recordTokenInterval(measured: Milliseconds): void {
    this.#measuredInterval = this.#measuredInterval === 0
      ? measured
      : this.#measuredInterval +
        SMOOTHING_FACTOR * (measured - this.#measuredInterval);
  }

  /** Requests of this entry that are running at the upstream. */
  get running(): number {
    return this.#dispatches.size;
  }

  applyAnnouncement(announcement: Announcement, now: Milliseconds): void {
    if (announcement.incarnation !== this.#announcement.incarnation) {
      this.cache.clear();
    }
    this.#announcement = announcement;
    this.#reportedAt = now;
    this.#endedSinceReport = 0;
  }

  recordDispatch(token: string, now: Milliseconds): void {
    this.#dispatches.set(token, { at: now });
    this.breaker.recordDispatch();
  }

  recordEnd(token: string, now: Milliseconds): void {
    const dispatch = this.#dispatches.get(token);
    if (dispatch === undefined) {
      return;
    }
    this.#dispatches.delete(token);
    if (dispatch.at <= this.#reportedAt) {
      this.#endedSinceReport += 1;
    }
    const duration = now - dispatch.at;
    this.#serviceTime = this.#serviceTime === 0
      ? duration
      : this.#serviceTime + SMOOTHING_FACTOR * (duration - this.#serviceTime);
  }

  recordFirstToken(measured: Milliseconds, estimated: Milliseconds): void {
    if (estimated <= 0) {
      return;
    }
    const ratio = measured / estimated;
    const bounded = Math.min(
      MAX_CORRECTION_FACTOR,
      Math.max(MIN_CORRECTION_FACTOR, ratio),
    );
    this.#prefillCorrection += SMOOTHING_FACTOR *
      (bounded - this.#prefillCorrection);
  }

  /**
   * Estimates the requests at the upstream: those in the last report, plus
   * those dispatched since, minus those ended since. Assumes that other entries
   * send as much, so that not all choose the same upstream.
   */
  expectedLoad(): number {
    const { running, waiting } = this.#announcement.load;
    let unreported = 0;
    for (const dispatch of this.#dispatches.values()) {
      if (dispatch.at > this.#reportedAt) {
        unreported += 1;
      }
    }
    const change = (unreported - this.#endedSinceReport) * this.#entryCount;
    return Math.max(this.running, running + waiting + change);
  }

  /** Requests that can start without queueing. */
  freeSlots(): number {
    return this.#announcement.slots - this.expectedLoad();
  }

  estimateFirstToken(
    promptTokens: number,
    cachedShare: number,
  ): Milliseconds {
    const { slots, prefillRate } = this.#announcement;
    const queued = Math.max(0, this.expectedLoad() - slots + 1);
    const queueTime = queued * this.#serviceTime / slots;
    const uncached = promptTokens * (1 - cachedShare);
    const prefillTime = uncached / prefillRate * MS_PER_SECOND;
    // The queue time isn't corrected: an upstream that once had a long queue
    // would keep a high estimate and never be chosen again to lower it.
    return queueTime + prefillTime * this.#prefillCorrection +
      this.#announcement.decodeInterval;
  }

  /** Price of one slot per hour. */
  slotPrice(): number {
    return this.#announcement.price / this.#announcement.slots;
  }
}

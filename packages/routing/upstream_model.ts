import type { Milliseconds } from "@heroncleat/base";
import type { Announcement } from "@heroncleat/schema";
import { CircuitBreaker } from "./circuit_breaker.ts";
import { PrefixCache } from "./prefix_cache.ts";
import type { RoutingSettings } from "./routing_settings.ts";

/** Weight of the newest observation in a moving average. */
const SMOOTHING = 0.2;
const MS_PER_SECOND = 1000;
const LEAST_CORRECTION = 0.5;
const MOST_CORRECTION = 3;

/** A dispatch that the upstream's load report may not show yet. */
type Dispatch = { readonly at: Milliseconds };

/**
 * What one entry knows and expects of one upstream.
 *
 * @internal
 */
export class UpstreamModel {
  readonly cache: PrefixCache;
  readonly breaker: CircuitBreaker;
  readonly #dispatches = new Map<string, Dispatch>();
  #announcement: Announcement;
  #reportedAt: Milliseconds;
  /** Own dispatches that ended after the last report. */
  #endedSinceReport = 0;
  /** Smoothed time that a request runs. */
  #serviceTime: Milliseconds = 0;
  /** Smoothed time between tokens as measured here; 0 before the first. */
  #measuredInterval: Milliseconds = 0;
  /** Entries that send to this upstream, this one included. */
  #sharers = 1;
  /** Smoothed ratio of measured to estimated time to the first token. */
  #correction = 1;

  constructor(
    announcement: Announcement,
    options: { settings: RoutingSettings; now: Milliseconds },
  ) {
    this.#announcement = announcement;
    this.#reportedAt = options.now;
    this.cache = new PrefixCache(options.settings.cacheBlocks);
    this.breaker = new CircuitBreaker(options.settings);
  }

  get announcement(): Announcement {
    return this.#announcement;
  }

  /** Time between tokens: as measured, or as announced before that. */
  get decodeInterval(): Milliseconds {
    return this.#measuredInterval || this.#announcement.decodeInterval;
  }

  setSharers(sharers: number): void {
    this.#sharers = Math.max(1, sharers);
  }

  noteBetweenTokens(measured: Milliseconds): void {
    this.#measuredInterval = this.#measuredInterval === 0
      ? measured
      : this.#measuredInterval +
        SMOOTHING * (measured - this.#measuredInterval);
  }

  get running(): number {
    return this.#dispatches.size;
  }

  update(announcement: Announcement, now: Milliseconds): void {
    if (announcement.incarnation !== this.#announcement.incarnation) {
      this.cache.clear();
    }
    this.#announcement = announcement;
    this.#reportedAt = now;
    this.#endedSinceReport = 0;
  }

  dispatched(token: string, now: Milliseconds): void {
    this.#dispatches.set(token, { at: now });
    this.breaker.dispatched();
  }

  ended(token: string, now: Milliseconds): void {
    const dispatch = this.#dispatches.get(token);
    if (dispatch === undefined) {
      return;
    }
    this.#dispatches.delete(token);
    if (dispatch.at <= this.#reportedAt) {
      this.#endedSinceReport += 1;
    }
    const taken = now - dispatch.at;
    this.#serviceTime = this.#serviceTime === 0
      ? taken
      : this.#serviceTime + SMOOTHING * (taken - this.#serviceTime);
  }

  noteFirstToken(measured: Milliseconds, estimated: Milliseconds): void {
    if (estimated <= 0) {
      return;
    }
    const ratio = measured / estimated;
    const bounded = Math.min(
      MOST_CORRECTION,
      Math.max(LEAST_CORRECTION, ratio),
    );
    this.#correction += SMOOTHING * (bounded - this.#correction);
  }

  /**
   * Requests there now: the last report, plus what was sent since and the
   * report can't show, less what ended since. The other entries are taken to
   * send as much as this one, or all would pick the same upstream at once.
   */
  expectedLoad(): number {
    const { running, waiting } = this.#announcement.load;
    let unseen = 0;
    for (const dispatch of this.#dispatches.values()) {
      if (dispatch.at > this.#reportedAt) {
        unseen += 1;
      }
    }
    const change = (unseen - this.#endedSinceReport) * this.#sharers;
    return Math.max(this.running, running + waiting + change);
  }

  /** Requests that can start there without queueing. */
  freeSlots(): number {
    return this.#announcement.slots - this.expectedLoad();
  }

  estimateFirstToken(
    promptTokens: number,
    cachedShare: number,
  ): Milliseconds {
    const { slots, prefillRate } = this.#announcement;
    const queued = Math.max(0, this.expectedLoad() - slots + 1);
    const queueing = queued * this.#serviceTime / slots;
    const uncached = promptTokens * (1 - cachedShare);
    const prefill = uncached / prefillRate * MS_PER_SECOND;
    // Only computing is corrected: an upstream that once had a long queue
    // would else look slow until it is chosen again, which it then isn't.
    return queueing + prefill * this.#correction +
      this.#announcement.decodeInterval;
  }

  /** Price of one slot for an hour. */
  slotPrice(): number {
    return this.#announcement.price / this.#announcement.slots;
  }
}

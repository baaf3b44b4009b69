import type { Milliseconds } from "@heroncleat/base";
import { RecentMaximum } from "./recent_maximum.ts";
import { SlidingWindowSum } from "./sliding_window_sum.ts";

const SECOND: Milliseconds = 1000;
/** Requests per second that are assumed to be accepted at least. */
const MIN_RATE = 0.1;
/**
 * Length of the schedule from the time at which an upstream is available.
 * Callers beyond it come back spread over its second
 * half, when others will have gone.
 */
const HORIZON: Milliseconds = 3000;
/** Window in which served requests are counted. */
const SERVED_WINDOW: Milliseconds = 2000;
/** Time for which the highest rate of served requests counts. */
const SERVED_RETENTION: Milliseconds = 30_000;

/**
 * When refused callers are told to come back, so that no more return together
 * than upstreams accept by then.
 *
 * @public
 */
export class ReturnTimes {
  readonly #random: () => number;
  readonly #served = new SlidingWindowSum(SERVED_WINDOW);
  readonly #mostServed = new RecentMaximum(0, SERVED_RETENTION);
  #nextFreeAt: Milliseconds = -Infinity;

  /** @param random Returns a number from 0 to 1. */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Records that an upstream began to respond to a request. */
  recordServed(now: Milliseconds): void {
    this.#served.add(1, now);
    this.#mostServed.record(this.#served.sum(now), now);
  }

  /**
   * Time after which a refused caller should return.
   *
   * @param upstreams.availableIn Time until one accepts another request.
   * @param upstreams.rate Requests per second that they accept from this entry;
   *     by default what they served lately.
   */
  assign(
    { availableIn, rate = this.#servedRate }: {
      readonly availableIn: Milliseconds;
      readonly rate?: number;
    },
    now: Milliseconds,
  ): Milliseconds {
    const earliest = now + availableIn;
    const interval = SECOND / Math.max(MIN_RATE, rate);
    if (this.#nextFreeAt > earliest + HORIZON + interval) {
      // The schedule belongs to an upstream that is available later.
      this.#nextFreeAt = earliest;
    }
    const returnsAt = Math.max(earliest, this.#nextFreeAt);
    if (returnsAt - earliest > HORIZON) {
      return earliest - now + HORIZON * (1 + this.#random()) / 2;
    }
    this.#nextFreeAt = returnsAt + interval;
    // Entries that refuse at the same moment don't send callers back at one.
    return returnsAt - now + this.#random() * Math.min(interval, SECOND);
  }

  get #servedRate(): number {
    return this.#mostServed.value * SECOND / SERVED_WINDOW;
  }
}

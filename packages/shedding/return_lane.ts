import type { Milliseconds } from "@heroncleat/base";

const SECOND: Milliseconds = 1000;
/** Share of the remaining time that callers wait at most. */
const MAX_WAIT_SHARE = 1 / 3;

/**
 * Times at which refused callers of one workspace and rank return, one after
 * the other at the rate at which their requests are accepted. As each workspace
 * has times of its own, one whose callers return early moves no others.
 *
 * @internal
 */
export class ReturnLane {
  #nextAt: Milliseconds = -Infinity;

  /**
   * Time after which a refused caller should return.
   *
   * @param options.availableIn Time until a request of this kind is accepted.
   * @param options.rate Requests per second that are accepted.
   * @param options.timeLeft Time until the caller gives up.
   */
  assign(
    { availableIn, rate, timeLeft, random }: {
      readonly availableIn: Milliseconds;
      readonly rate: number;
      readonly timeLeft: Milliseconds;
      readonly random: () => number;
    },
    now: Milliseconds,
  ): Milliseconds {
    const interval = SECOND / rate;
    const returnsAt = Math.max(now + availableIn, this.#nextAt);
    const delay = returnsAt - now + random() * Math.min(interval, SECOND);
    // A caller that can't wait so long won't return, so it takes no time.
    if (delay <= timeLeft * MAX_WAIT_SHARE) {
      this.#nextAt = returnsAt + interval;
    }
    return delay;
  }
}

import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  type Route,
  RouteKind,
  RunTimes,
  timeNeeded,
} from "@heroncleat/serving";

/** Time before the end of the grace period at which the process ends. */
const EXIT_MARGIN: Milliseconds = 150;
/**
 * Part of the grace period that a stream must have left where nothing is known
 * of its route: refusing all of them would turn away callers who know late that
 * the entry leaves.
 */
const UNKNOWN_STREAM_GRACE_SHARE = 0.64;

/** What is asked of a request. */
type TimedRequest = {
  readonly route: Route;
  /** Tokens that its caller expects, or allows; 0 where it says neither. */
  readonly size: number;
  /** Monotonic time at which it is given up. */
  readonly deadline: Milliseconds;
};

/**
 * When this entry ends, once it leaves, and which requests can come to their
 * end before that.
 */
export class DepartureDeadline {
  readonly #clock: Pick<Clock, "steady">;
  readonly #runTimes = new RunTimes();
  #gracePeriod: Milliseconds = Infinity;
  #endsAt: Milliseconds = Infinity;

  constructor(clock: Pick<Clock, "steady">) {
    this.#clock = clock;
  }

  /** Monotonic time at which the process ends; Infinity while it stays. */
  get endsAt(): Milliseconds {
    return this.#endsAt;
  }

  get hasBegun(): boolean {
    return this.#endsAt < Infinity;
  }

  /** The entry has been told to stop. */
  begin(gracePeriod: Milliseconds): void {
    this.#gracePeriod = gracePeriod;
    this.#endsAt = this.#clock.steady() + gracePeriod - EXIT_MARGIN;
  }

  /**
   * Notes that a request goes to an upstream, to know how long such requests
   * take.
   *
   * @returns Call it when the request ended, whole or not.
   */
  recordRun({ route, size }: TimedRequest): (isWhole: boolean) => void {
    const startedAt = this.#clock.steady();
    const end = this.#runTimes.begin(route.name, { startedAt, size });
    return (isWhole) => end({ endedAt: this.#clock.steady(), isWhole });
  }

  /** Whether a request that goes out now comes to its end in time. */
  hasTimeFor({ route, size, deadline }: TimedRequest): boolean {
    if (!this.hasBegun) {
      return true;
    }
    const now = this.#clock.steady();
    const longest = this.#runTimes.longest(route.name, { size, now });
    const isUnknownStream = longest === undefined &&
      route.kind === RouteKind.streaming;
    const requiredTime = isUnknownStream
      ? Math.min(this.#gracePeriod * UNKNOWN_STREAM_GRACE_SHARE, deadline - now)
      : timeNeeded(route, { longest, timeLeft: deadline - now });
    return now + requiredTime <= this.#endsAt;
  }
}

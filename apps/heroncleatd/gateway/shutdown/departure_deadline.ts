import type { Clock, Milliseconds } from "@heroncleat/base";
import { requiredTime, type Route, RunDurations } from "@heroncleat/serving";
import type { RequestProgress } from "./request_progress.ts";

/** Time before the end of the grace period at which the process exits. */
const EXIT_MARGIN: Milliseconds = 150;
/** Time in which requests in flight are answered before that. */
const ANSWER_TIME: Milliseconds = 100;

/** The properties of a request that determine how long it may take. */
type TimedRequest = {
  readonly route: Route;
  /**
   * Output tokens that the caller expects or allows; 0 if it states neither.
   */
  readonly size: number;
  /** Monotonic time at which the request times out. */
  readonly deadline: Milliseconds;
  /** Receives the estimate by which the request is accepted. */
  readonly progress?: Pick<RequestProgress, "recordEstimate">;
};

/**
 * Determines when this entry exits during a shutdown, and which requests can
 * complete before that.
 */
export class DepartureDeadline {
  readonly #clock: Pick<Clock, "steady">;
  readonly #runTimes = new RunDurations();
  #exitsAt: Milliseconds = Infinity;

  constructor(clock: Pick<Clock, "steady">) {
    this.#clock = clock;
  }

  /** Monotonic time at which the process exits; Infinity without a shutdown. */
  get exitsAt(): Milliseconds {
    return this.#exitsAt;
  }

  /** Monotonic time at which requests in flight are given up. */
  get endsAt(): Milliseconds {
    return this.#exitsAt - ANSWER_TIME;
  }

  get hasBegun(): boolean {
    return this.#exitsAt < Infinity;
  }

  /**
   * Starts the grace period of a shutdown, which counts from the time at which
   * the process was told to shut down; from now by default.
   */
  begin(
    gracePeriod: Milliseconds,
    signalledAt: Milliseconds = this.#clock.steady(),
  ): void {
    this.#exitsAt = signalledAt + gracePeriod - EXIT_MARGIN;
  }

  /**
   * Records that a request was sent to an upstream, to learn how long requests
   * of its route take.
   *
   * @returns A function to call when the request ended, with whether it
   * completed.
   */
  recordRun({ route, size }: TimedRequest): (isWhole: boolean) => void {
    const startedAt = this.#clock.steady();
    const end = this.#runTimes.begin(route.name, { startedAt, size });
    return (isWhole) =>
      end({ endedAt: this.#clock.steady(), isComplete: isWhole });
  }

  /**
   * Whether a request that is sent now completes before it is given up, but for
   * a small probability. With few recorded run times its deadline counts.
   */
  hasTimeFor({ route, size, deadline, progress }: TimedRequest): boolean {
    if (!this.hasBegun) {
      return true;
    }
    const now = this.#clock.steady();
    const longest = this.#runTimes.findLongest(route.name, { size, now });
    const maxDuration = requiredTime(route, {
      longest,
      timeLeft: deadline - now,
    });
    progress?.recordEstimate({
      requiredTime: maxDuration,
      runCount: longest?.runCount ?? 0,
    });
    return now + maxDuration <= this.endsAt;
  }
}

import type { Clock, Milliseconds } from "@heroncleat/base";

/** Time before the end of the grace period at which the process exits. */
const EXIT_MARGIN: Milliseconds = 150;
/** Time in which requests in flight are answered before that. */
const ANSWER_TIME: Milliseconds = 100;

/**
 * Determines when this entry exits during a shutdown, and which requests can
 * complete before that.
 */
export class DepartureDeadline {
  readonly #clock: Pick<Clock, "steady">;
  #exitsAt: Milliseconds = Infinity;
  #refusesRequests = false;

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

  /** Refuses all further requests, whatever time they have. */
  refuseRequests(): void {
    this.#refusesRequests = true;
  }

  /** Whether all further requests are refused, whatever time they have. */
  get refusesRequests(): boolean {
    return this.#refusesRequests;
  }

  /** Whether to accept a request of a caller. */
  accepts(request: { readonly deadline: Milliseconds }): boolean {
    return !this.#refusesRequests && this.hasTimeFor(request);
  }

  /**
   * Whether a request is answered before it is given up. Only its deadline tells:
   * however many runs were short, the next one may be long.
   *
   * @param request.deadline Monotonic time at which the request times out.
   */
  hasTimeFor({ deadline }: { readonly deadline: Milliseconds }): boolean {
    return !this.hasBegun || deadline <= this.endsAt;
  }
}

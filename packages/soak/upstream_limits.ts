import type { Milliseconds } from "@heroncleat/base";

const SECOND: Milliseconds = 1000;

/** What an upstream states that it takes, and whether it rejects requests. */
export class UpstreamLimits {
  /** Requests per second that its responses state; undefined for none. */
  rateLimit: number | undefined;
  #rejectionLimit: number | undefined;
  #rejectedAt: Milliseconds[] = [];
  #rest: Milliseconds | undefined;
  /** When the last rest ends that it asked for; infinite while it rejects. */
  #restUntil: Milliseconds = -Infinity;

  /** Rejections per second beyond which it crashes; undefined for none. */
  get rejectionLimit(): number | undefined {
    return this.#rejectionLimit;
  }

  /**
   * States in all responses from now on how many requests it can reject in a
   * second, and crashes beyond that; undefined for none.
   */
  stateRejectionLimit(rate: number | undefined): void {
    this.#rejectionLimit = rate;
    this.#rejectedAt = [];
  }

  /** What its rejections ask for; undefined if it accepts requests. */
  get rest(): Milliseconds | undefined {
    return this.#rest;
  }

  /** Rejects all requests from now on and asks for rest; undefined for none. */
  askForRest(duration: Milliseconds | undefined): void {
    this.#restUntil = duration === undefined
      ? performance.now() + (this.#rest ?? 0)
      : Infinity;
    this.#rest = duration;
  }

  /** Whether it rejects all requests, or last asked for rest until later. */
  isAtRest(at: Milliseconds): boolean {
    return this.#restUntil > at;
  }

  /** Whether it neither rejects requests nor states a limit. */
  get isOpen(): boolean {
    return this.rateLimit === undefined && this.#rejectionLimit === undefined &&
      !this.isAtRest(performance.now());
  }

  /**
   * Records a rejection.
   *
   * @returns Whether they are more than it states.
   */
  recordRejection(): boolean {
    const now = performance.now();
    this.#rejectedAt = this.#rejectedAt.filter((at) => at > now - SECOND);
    this.#rejectedAt.push(now);
    return this.#rejectedAt.length > (this.#rejectionLimit ?? Infinity);
  }
}

import type { Milliseconds } from "@heroncleat/base";

/** A request about which load shedding decides. @public */
export type Offer = {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Empty for requests without a key. */
  readonly workspace: string;
  /** Time until the first token is late. */
  readonly objectiveLeft: Milliseconds;
  /** Time until the caller gives up. */
  readonly timeLeft: Milliseconds;
  /** Time in the queue of the upstream that would serve it soonest. */
  readonly waiting: Milliseconds;
  /** Time for which it occupies the prefill of that upstream. */
  readonly prefillTime: Milliseconds;
  /** Whether the prefill speed was measured, not assumed. */
  readonly isPrefillSpeedKnown: boolean;
  /**
   * Whether this entry has decided about the request before, so that it isn't
   * counted as demand again.
   */
  readonly isRepeated?: boolean;
};

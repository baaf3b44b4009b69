import type { Milliseconds } from "@heroncleat/base";

/** Times that decisions on load shedding share. @internal */
export const sheddingTimes = {
  /** No request is refused while the queue is shorter. */
  minQueue: 100 as Milliseconds,
  /** Upstream queues hardly change within a shorter time. */
  minRetryDelay: 200 as Milliseconds,
  /**
   * Time from the end of the prefill until the caller receives the first event:
   * first decoding steps, network round trip and the error of the queue
   * estimate.
   */
  firstTokenOverhead: 100 as Milliseconds,
  /**
   * Maximum share of the objective that a prompt's own prefill counts for. The
   * largest prompts exceed their objective even at an idle upstream; the bound
   * keeps them from being refused always.
   */
  maxPrefillShare: 0.5,
} as const;

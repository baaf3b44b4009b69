import type { Milliseconds } from "@heroncleat/base";

/**
 * Maximum share of the objective that a prompt's own prefill counts for. The
 * largest prompts exceed their objective even at an idle upstream; the bound
 * keeps them from being refused always.
 */
const MAX_PREFILL_SHARE = 0.5;
/**
 * Time from the end of the prefill until the caller receives the first event:
 * first decoding steps, network round trip and the error of the queue estimate.
 */
const FIRST_TOKEN_OVERHEAD: Milliseconds = 100;
/** No request is refused while the queue is shorter. */
const MIN_QUEUE_TIME: Milliseconds = 100;
/** Upstream queues hardly change within a shorter time. */
const MIN_RETRY_DELAY: Milliseconds = 200;

/**
 * Latency estimates for a request at the upstream that would serve it soonest.
 */
type ExpectedLatency = {
  /** Time until the upstream has prefilled the prompts queued before. */
  readonly waiting: Milliseconds;
  /** Prefill time of the request's own prompt. */
  readonly prefillTime: Milliseconds;
  /** Remaining time until the first token is late. */
  readonly objective: Milliseconds;
  /** Whether the prefill speed was measured, not assumed. */
  readonly isPrefillSpeedKnown: boolean;
};

/**
 * Decides whether to shed a request that would miss its latency objective at
 * every upstream. Nothing is refused while the prefill speed is only assumed.
 *
 * @returns The delay after which the queue has room; undefined if accepted now.
 * @public
 */
export function overloadRetryDelay(
  expected: ExpectedLatency,
): Milliseconds | undefined {
  const {
    waiting,
    prefillTime,
    objective,
    isPrefillSpeedKnown,
  } = expected;
  if (!isPrefillSpeedKnown || waiting < MIN_QUEUE_TIME) {
    return undefined;
  }
  const cappedPrefillTime = Math.min(
    prefillTime,
    objective * MAX_PREFILL_SHARE,
  );
  const excess = waiting + cappedPrefillTime + FIRST_TOKEN_OVERHEAD - objective;
  return excess <= 0 ? undefined : Math.max(MIN_RETRY_DELAY, excess);
}

import type { Milliseconds } from "@heroncleat/base";
import { sheddingTimes } from "./shedding_times.ts";

const { minQueue, minRetryDelay, firstTokenOverhead, maxPrefillShare } =
  sheddingTimes;

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
  if (!isPrefillSpeedKnown || waiting < minQueue) {
    return undefined;
  }
  const cappedPrefillTime = Math.min(
    prefillTime,
    objective * maxPrefillShare,
  );
  const excess = waiting + cappedPrefillTime + firstTokenOverhead - objective;
  return excess <= 0 ? undefined : Math.max(minRetryDelay, excess);
}

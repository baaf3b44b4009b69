import type { Clock, Milliseconds } from "@heroncleat/base";
import type { Metrics } from "../../common/metrics.ts";
import type { AttemptResult } from "../attempts/attempt_result.ts";
import { POLL_INTERVAL } from "../exchange/poll_interval.ts";

/** Time in which the next heartbeat of an upstream is known here. */
const CONFIRM_TIMEOUT: Milliseconds = 2500;

type AttemptHead = Extract<AttemptResult, { kind: "head" }>;

/**
 * Whether a response comes from a version, once that is certain. The upstream
 * may have started again, so that its next heartbeat is waited for.
 */
export async function confirmVersion(
  { message, version, wasReplaced, isRelayed }: AttemptHead,
  { expected, clock, metrics, signal }: {
    expected: string;
    clock: Pick<Clock, "steady">;
    metrics: Pick<Metrics, "timing">;
    signal: AbortSignal;
  },
): Promise<boolean> {
  if (version() !== undefined) {
    return version() === expected;
  }
  const since = clock.steady();
  // The sender of a relayed response states the version once.
  while (
    version() === undefined && !isRelayed && !wasReplaced() &&
    !message.destroyed && !signal.aborted &&
    clock.steady() < since + CONFIRM_TIMEOUT
  ) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL));
  }
  metrics.timing("gateway.version_confirmation", clock.steady() - since);
  return version() === expected;
}

import { StopReason } from "./stop_reason.ts";
import type { StreamStep } from "./stream_step.ts";

const REASONS: Readonly<Record<StreamStep, StopReason | undefined>> = {
  done: undefined,
  broken: StopReason.runsFailed,
  other_version: StopReason.runsFailed,
  failed: StopReason.runsFailed,
  not_run: StopReason.notAccepted,
  no_upstream: StopReason.noUpstream,
  no_retry: StopReason.retryBudget,
  overloaded: StopReason.overloaded,
  limited: StopReason.rateLimits,
  resting: StopReason.resting,
  rejected: StopReason.suspected,
  held: StopReason.suspected,
  leaving: StopReason.leaving,
};

/** Returns why a stream isn't continued if a step was its last one. */
export function stopReasonOf(step: StreamStep): StopReason | undefined {
  return REASONS[step];
}

import type { EndedBy } from "./responses/ended_by.ts";
import type { StopReason } from "./streams/stop_reason.ts";

/** The outcome of a forwarded request, for logs, metrics and quota refunds. */
export type ForwardResult = {
  readonly outcome:
    | "answered"
    | "refused"
    | "failed"
    | "timed_out"
    | "caller_left";
  /** Status that was sent to the caller; 0 for none. */
  readonly status: number;
  /** Whether an upstream may have run the request. */
  readonly mayHaveRun: boolean;
  /** What ended it; absent if it was answered, or refused without a run. */
  readonly endedBy?: EndedBy | undefined;
  /** Why a stream isn't continued; absent if it was answered. */
  readonly stoppedBy?: StopReason | undefined;
  /** One description per attempt. */
  readonly attempts: readonly string[];
};

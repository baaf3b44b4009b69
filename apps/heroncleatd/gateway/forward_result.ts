/** How a forwarded request ended, for logs, metrics and its quota. */
export type ForwardResult = {
  readonly outcome:
    | "answered"
    | "refused"
    | "failed"
    | "timed_out"
    | "caller_left";
  /** Status that the caller got; 0 for none. */
  readonly status: number;
  /** Whether an upstream may have run it. */
  readonly mayHaveRun: boolean;
  /** Upstreams it was sent to, each with what came of it. */
  readonly attempts: readonly string[];
};

import type { Milliseconds } from "@heroncleat/base";

/** A guarantee that was violated during a soak. @public */
export type Finding = {
  readonly promise:
    | "leaving"
    | "draining"
    | "cut_run"
    | "once"
    | "not_run"
    | "whole_answer"
    | "crashing"
    | "rate_limit"
    | "rest"
    | "leaving_stated"
    | "rejected"
    | "configuration"
    | "cut_off"
    | "overload"
    | "one_version"
    | "resumed"
    | "own_end"
    | "recovery";
  /** Time since the start of the soak. */
  readonly at: Milliseconds;
  readonly text: string;
};

import type { Milliseconds } from "@heroncleat/base";

/** A promise that a soak saw broken. @public */
export type Finding = {
  readonly promise:
    | "leaving"
    | "once"
    | "not_run"
    | "whole_answer"
    | "crashing"
    | "rejected"
    | "configuration"
    | "recovery";
  /** Time since the soak began. */
  readonly at: Milliseconds;
  readonly text: string;
};

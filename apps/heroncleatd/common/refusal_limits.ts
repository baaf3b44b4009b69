import type { Milliseconds } from "@heroncleat/base";

/** Limits for the callers of refused requests, who may still be sending. */
export const refusalLimits = {
  /** Time in which a caller may send the rest. */
  sendTime: 10_000 as Milliseconds,
  /** Time without bytes after which its connection is closed. */
  silence: 2000 as Milliseconds,
} as const;

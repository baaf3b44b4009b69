import type { Milliseconds } from "@heroncleat/base";

/** Limits for the callers of refused requests, who may still be sending. */
export const refusalLimits = {
  /** Time in which a caller may send the rest. */
  sendTime: 10_000 as Milliseconds,
  /** The same for one that sends nothing, or had its time already. */
  silence: 2000 as Milliseconds,
} as const;

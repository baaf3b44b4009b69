import type { Milliseconds } from "@heroncleat/base";

/** How far the quotas may be overrun, and over which time. @public */
export type QuotaSettings = {
  /** Whether the whole system starts with this process, with nothing spent. */
  readonly isFresh: boolean;
  /** Time over which a workspace's spending is judged. */
  readonly window: Milliseconds;
  /** Part of the quota of a window that may be spent beyond it. */
  readonly overshoot: number;
  /** Tokens that may be spent beyond that in a window. */
  readonly tolerance: number;
};

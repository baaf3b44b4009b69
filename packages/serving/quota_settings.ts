import type { Milliseconds } from "@heroncleat/base";

/** Window of the quotas and how far it may be exceeded. @public */
export type QuotaSettings = {
  /**
   * Whether this process starts with the whole system, so that nothing is spent
   * yet.
   */
  readonly isFresh: boolean;
  /** Length of the sliding window that bounds a workspace's spending. */
  readonly window: Milliseconds;
  /** Tolerated excess as a share of a window's quota. */
  readonly overshoot: number;
  /** Additional tolerated excess of a window in tokens. */
  readonly tolerance: number;
};

import type { CounterReport, FollowedShares } from "@heroncleat/serving";

/** How far this entry has read the change feed of one control replica. */
export type FeedPosition = {
  readonly feed: string;
  readonly revision: number;
  /** Shares of the upstreams whose updates the replica sends to this entry. */
  readonly followed: FollowedShares;
  /**
   * Whether the replica is the primary, with which upstream loads are
   * exchanged.
   */
  readonly isPrimary: boolean;
  /**
   * Revision up to which the replica sent the loads of other entries; 0 for
   * none.
   */
  readonly loadsSince: number;
  /** Own revision up to which the replica was sent suspected requests. */
  readonly suspectsSentRevision: number;
  /** Tracks which of this entry's counters the replica has acknowledged. */
  readonly report: CounterReport;
};

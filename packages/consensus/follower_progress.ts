import type { Milliseconds } from "@heroncleat/base";

/** What a leader knows of one other member. @internal */
export type FollowerProgress = {
  matchIndex: number;
  nextIndex: number;
  /** Whether entries or a snapshot chunk are on their way. */
  hasRequestInFlight: boolean;
  sentAt: Milliseconds;
  lastContactAt: Milliseconds;
  /** Last heartbeat round the member answered. */
  round: number;
  /** Characters of the present snapshot that the member has. */
  snapshotOffset: number;
  /** Index of the snapshot being sent, 0 when none is. */
  snapshotIndex: number;
};

import type { Milliseconds } from "@heroncleat/base";
import type { OutgoingTransfer } from "./outgoing_transfer.ts";

/** Replication state of another member, kept by the leader. @internal */
export type FollowerProgress = {
  matchIndex: number;
  nextIndex: number;
  /**
   * The entries or the chunk that await a reply. They are sent again once the
   * member has replied to a later heartbeat round without replying to them,
   * which shows that they were lost and aren't just slow.
   */
  unacknowledged: {
    /** Heartbeat round during which they were sent. */
    readonly round: number;
    /** Log index that the member has once it has received all of them. */
    readonly index: number;
  } | undefined;
  /** The snapshot or large entry that is being sent. */
  transfer: OutgoingTransfer | undefined;
  /** Messages with entries or a chunk sent since the last progress. */
  sendsSinceProgress: number;
  lastContactAt: Milliseconds;
  /** Last heartbeat round that the member has replied to. */
  round: number;
};

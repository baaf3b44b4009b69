import type { Milliseconds } from "@heroncleat/base";
import type { ReplicaMember } from "@heroncleat/schema";

/** @public */
export type ReplicaSettings = {
  /** Disk identity of this replica. */
  readonly id: string;
  /** Initial members, used until the log contains a member list. */
  readonly founders: readonly ReplicaMember[];
  readonly heartbeatInterval: Milliseconds;
  /** Minimum time without contact with a leader before an election. */
  readonly electionTimeout: Milliseconds;
  /** Maximum relative difference between the rates of two clocks. */
  readonly clockDrift: number;
  /** Characters of a snapshot or a large entry in one message. */
  readonly chunkLength: number;
  readonly maxAppendEntries: number;
  /** Size of the entries in one message; a larger entry is sent in chunks. */
  readonly maxAppendBytes: number;
  /** Entries kept before the last index of a snapshot, for slow members. */
  readonly trailingEntries: number;
  /**
   * Size of the entries kept before the last index of a snapshot, if that is
   * more than the size of the snapshot.
   */
  readonly trailingBytes: number;
};

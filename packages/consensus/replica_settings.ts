import type { Milliseconds } from "@heroncleat/base";
import type { ReplicaMember } from "@heroncleat/schema";

/** Settings of one replica. @public */
export type ReplicaSettings = {
  /** Disk identity of this replica. */
  readonly id: string;
  /** Members the group was formed with, used until the log names others. */
  readonly founders: readonly ReplicaMember[];
  readonly heartbeatInterval: Milliseconds;
  /** Shortest time without a leader before an election. */
  readonly electionTimeout: Milliseconds;
  /** Largest relative difference between the rates of two clocks. */
  readonly clockDrift: number;
  /** Characters in one snapshot chunk. */
  readonly snapshotChunkLength: number;
  /** Entries in one append. */
  readonly maxAppendEntries: number;
  /** Entries kept behind a snapshot, so that a slow member needs none. */
  readonly trailingEntries: number;
};

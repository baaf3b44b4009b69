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
  /** In characters. */
  readonly snapshotChunkLength: number;
  readonly maxAppendEntries: number;
  /** Entries kept before the last index of a snapshot, for slow members. */
  readonly trailingEntries: number;
};

import type { Milliseconds, Random } from "@heroncleat/base";
import type { LogSnapshot, ReplicaMember } from "@heroncleat/schema";
import type { IncomingTransfer } from "./incoming_transfer.ts";
import type { Leadership } from "./leadership.ts";
import type { ReplicaEffect } from "./replica_effect.ts";
import type { ReplicaRole } from "./replica_role.ts";
import type { ReplicaSettings } from "./replica_settings.ts";
import type { ReplicatedLog } from "./replicated_log.ts";

/** State of a replica, shared by the modules of this package. @internal */
export type ReplicaState = {
  readonly settings: ReplicaSettings;
  readonly random: Random;
  readonly log: ReplicatedLog;
  term: number;
  votedFor: string;
  role: typeof ReplicaRole[keyof typeof ReplicaRole];
  leader: string;
  members: readonly ReplicaMember[];
  /** Index of the entry that set `members`. */
  membersIndex: number;
  /** Last snapshot; its members apply when later changes are truncated. */
  snapshot: LogSnapshot;
  commitIndex: number;
  appliedIndex: number;
  electionDueAt: Milliseconds;
  /** Time of the last message from a leader, on the `steady` clock. */
  lastLeaderContactAt: Milliseconds;
  isPreVoting: boolean;
  votes: Set<string>;
  /** Terms up to which voters reported in this pre-vote that they don't lead. */
  nonLeadingTerms: Map<string, number>;
  leadership: Leadership | undefined;
  /** Proposals by log index. */
  readonly pendingProposals: Map<number, { token: string; term: number }>;
  lastPersistNumber: number;
  /** Persist effects not yet on disk, with the last log index of each. */
  readonly unsyncedPersists: { number: number; lastIndex: number }[];
  /** Last log index known to be on this disk. */
  durableIndex: number;
  incomingSnapshot: IncomingTransfer | undefined;
  incomingEntry: IncomingTransfer | undefined;
  effects: ReplicaEffect[];
};

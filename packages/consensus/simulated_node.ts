import type {
  JournalRecord,
  LogSnapshot,
  ReplicaMember,
} from "@heroncleat/schema";
import type { Replica } from "./replica.ts";
import type { ReplicaEffect } from "./replica_effect.ts";

/** One simulated replica with its disk and its clock. */
export type SimulatedNode = {
  readonly member: ReplicaMember;
  readonly rate: number;
  clockOffset: number;
  replica: Replica | undefined;
  stored: { snapshot: LogSnapshot | undefined; records: JournalRecord[] };
  unsynced: Extract<ReplicaEffect, { kind: "persist" }>[];
  heldSends: Extract<ReplicaEffect, { kind: "send" }>[];
  durablePersist: number;
  /** Applied entries as JSON, in log order. */
  applied: string[];
};

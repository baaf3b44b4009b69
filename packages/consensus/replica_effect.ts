import type {
  ConsensusMessage,
  JournalRecord,
  LogEntry,
  LogSnapshot,
} from "@heroncleat/schema";
import type { ReplicaRole } from "./replica_role.ts";

/**
 * Actions that the owner of a replica must carry out in the given order. A
 * message must not be sent before the persist effect with the number
 * `afterPersist` is on disk; 0 means no wait.
 *
 * @public
 */
export type ReplicaEffect =
  | {
    readonly kind: "persist";
    readonly number: number;
    readonly records: readonly JournalRecord[];
    /** When present, it and `records` replace the journal. */
    readonly snapshot?: LogSnapshot;
  }
  | {
    readonly kind: "send";
    readonly to: string;
    readonly message: ConsensusMessage;
    readonly afterPersist: number;
  }
  | { readonly kind: "apply"; readonly entry: LogEntry }
  | { readonly kind: "restore"; readonly snapshot: LogSnapshot }
  | {
    readonly kind: "committed";
    readonly token: string;
    readonly index: number;
  }
  | {
    readonly kind: "rejected";
    readonly token: string;
    readonly reason: "not_leader" | "superseded" | "members_busy";
    /** Disk identity of the leader; empty when none is known. */
    readonly leader: string;
  }
  | {
    readonly kind: "read_ready";
    readonly token: string;
    readonly index: number;
  }
  | {
    readonly kind: "role";
    readonly role: typeof ReplicaRole[keyof typeof ReplicaRole];
    readonly term: number;
    readonly leader: string;
  };

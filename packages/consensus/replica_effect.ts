import type {
  ConsensusMessage,
  JournalRecord,
  LogEntry,
  LogSnapshot,
} from "@heroncleat/schema";
import type { ReplicaRole } from "./replica_role.ts";

/**
 * What the owner of a replica must do, in the order given. A message with
 * `after` leaves only once the persist effect of that number is on disk.
 *
 * @public
 */
export type ReplicaEffect =
  | {
    readonly kind: "persist";
    readonly number: number;
    readonly records: readonly JournalRecord[];
    /** When present, the journal starts anew behind this snapshot. */
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
    /** Disk identity of the leader, empty when none is known. */
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

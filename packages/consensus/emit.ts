import type {
  ConsensusMessage,
  JournalRecord,
  LogSnapshot,
} from "@heroncleat/schema";
import type { ReplicaState } from "./replica_state.ts";

/**
 * Builds the effects of a replica.
 *
 * @internal
 */
export const emit = {
  persist(
    state: ReplicaState,
    records: readonly JournalRecord[],
    snapshot?: LogSnapshot,
  ): void {
    state.lastPersistNumber += 1;
    const number = state.lastPersistNumber;
    state.unsyncedPersists.push({ number, lastIndex: state.log.lastIndex });
    state.effects.push(
      snapshot === undefined
        ? { kind: "persist", number, records }
        : { kind: "persist", number, records, snapshot },
    );
  },

  persistVote(state: ReplicaState): void {
    emit.persist(state, [
      { kind: "vote", term: state.term, votedFor: state.votedFor },
    ]);
  },

  /** Sends once everything persisted so far is on disk. */
  sendAfterSync(
    state: ReplicaState,
    to: string,
    message: ConsensusMessage,
  ): void {
    const after = state.unsyncedPersists.length === 0
      ? 0
      : state.lastPersistNumber;
    state.effects.push({ kind: "send", to, message, afterPersist: after });
  },

  /** Sends at once; for messages that promise nothing about this disk. */
  send(state: ReplicaState, to: string, message: ConsensusMessage): void {
    state.effects.push({ kind: "send", to, message, afterPersist: 0 });
  },

  role(state: ReplicaState): void {
    state.effects.push({
      kind: "role",
      role: state.role,
      term: state.term,
      leader: state.leader,
    });
  },

  reject(
    state: ReplicaState,
    token: string,
    reason: "not_leader" | "superseded" | "members_busy",
  ): void {
    state.effects.push({
      kind: "rejected",
      token,
      reason,
      leader: state.leader,
    });
  },
};

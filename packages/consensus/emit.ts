import type {
  ConsensusMessage,
  JournalRecord,
  LogSnapshot,
} from "@heroncleat/schema";
import type { ReplicaState } from "./replica_state.ts";

/**
 * Adds effects to those that a replica returns for the current event.
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

  /** Sends the message once all earlier persist effects are on disk. */
  sendAfterSync(
    state: ReplicaState,
    to: string,
    message: ConsensusMessage,
  ): void {
    const afterPersist = state.unsyncedPersists.length === 0
      ? 0
      : state.lastPersistNumber;
    state.effects.push({ kind: "send", to, message, afterPersist });
  },

  /** Sends at once; only for messages that don't depend on this disk. */
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

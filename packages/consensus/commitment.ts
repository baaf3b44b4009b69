import type { LogEntry, ReplicaMember } from "@heroncleat/schema";
import { emit } from "./emit.ts";
import { quorum } from "./quorum.ts";
import type { ReplicaState } from "./replica_state.ts";

/**
 * Advances the commit index and passes committed entries to the application.
 *
 * @internal
 */
export const commitment = {
  /** Commits, on the leader, the entries that a majority has on disk. */
  advance(state: ReplicaState): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
      return;
    }
    const majorityIndex = quorum.majorityValue(state.members, (id) => {
      if (id === state.settings.id) {
        return state.durableIndex;
      }
      return leadership.progress.get(id)?.matchIndex ?? 0;
    });
    // Counting replicas commits only entries of the current term (Raft,
    // section 5.4.2).
    if (
      majorityIndex > state.commitIndex &&
      state.log.termAt(majorityIndex) === state.term
    ) {
      commitment.commitTo(state, majorityIndex);
    }
  },

  commitTo(state: ReplicaState, index: number): void {
    state.commitIndex = Math.max(
      state.commitIndex,
      Math.min(index, state.log.lastIndex),
    );
    while (state.appliedIndex < state.commitIndex) {
      const entry = state.log.entryAt(state.appliedIndex + 1);
      if (entry === undefined) {
        return;
      }
      state.appliedIndex = entry.index;
      apply(state, entry);
    }
  },

  /** Records that the persist effects up to `number` are on disk. */
  onPersisted(state: ReplicaState, number: number): void {
    while (
      state.unsyncedPersists.length > 0 &&
      state.unsyncedPersists[0]!.number <= number
    ) {
      const synced = state.unsyncedPersists.shift()!;
      state.durableIndex = Math.max(state.durableIndex, synced.lastIndex);
    }
    commitment.advance(state);
  },

  /** Drops the entry at `from` and all later ones; rejects their proposals. */
  truncate(state: ReplicaState, from: number): void {
    state.log.truncate(from);
    state.durableIndex = Math.min(state.durableIndex, from - 1);
    for (const persist of state.unsyncedPersists) {
      persist.lastIndex = Math.min(persist.lastIndex, from - 1);
    }
    for (const [index, proposal] of state.pendingProposals) {
      if (index >= from) {
        state.pendingProposals.delete(index);
        emit.reject(state, proposal.token, "superseded");
      }
    }
    if (state.membersIndex >= from) {
      commitment.restoreMembers(state);
    }
  },

  /** Resets the members to the latest list in the log or the snapshot. */
  restoreMembers(state: ReplicaState): void {
    state.members = state.snapshot.members;
    state.membersIndex = state.snapshot.lastIndex;
    for (
      let index = state.log.baseIndex + 1;
      index <= state.log.lastIndex;
      index += 1
    ) {
      const entry = state.log.entryAt(index)!;
      if (entry.kind === "members") {
        state.members = entry.payload as ReplicaMember[];
        state.membersIndex = index;
      }
    }
  },
};

function apply(state: ReplicaState, entry: LogEntry): void {
  state.effects.push({ kind: "apply", entry });
  const proposal = state.pendingProposals.get(entry.index);
  if (proposal === undefined) {
    return;
  }
  state.pendingProposals.delete(entry.index);
  if (proposal.term !== entry.term) {
    emit.reject(state, proposal.token, "superseded");
    return;
  }
  state.effects.push({
    kind: "committed",
    token: proposal.token,
    index: entry.index,
  });
}

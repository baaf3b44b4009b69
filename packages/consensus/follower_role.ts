import type {
  Append,
  AppendReply,
  LogEntry,
  LogSnapshot,
  ReplicaMember,
  SnapshotChunk,
} from "@heroncleat/schema";
import { commitment } from "./commitment.ts";
import { emit } from "./emit.ts";
import type { ReplicaState } from "./replica_state.ts";

/**
 * Behavior of a follower: appends entries and installs snapshots of its leader.
 *
 * @internal
 */
export const followerRole = {
  onAppend(state: ReplicaState, message: Append): void {
    if (!matchesPreviousEntry(state, message)) {
      const hint = Math.min(state.log.lastIndex, message.previousIndex - 1);
      sendAppendReply(state, message, {
        success: false,
        matchIndex: Math.max(0, hint),
      });
      return;
    }
    const appended = appendMissingEntries(state, message.entries);
    if (appended.length > 0) {
      emit.persist(state, [{ kind: "entries", entries: appended }]);
    }
    const matchIndex = message.previousIndex + message.entries.length;
    commitment.commitTo(state, Math.min(message.commit, matchIndex));
    sendAppendReply(state, message, { success: true, matchIndex });
  },

  /** Rejects a message of a stale term, so that its sender steps down. */
  rejectStaleTerm(state: ReplicaState, message: Append | SnapshotChunk): void {
    sendAppendReply(state, message, { success: false, matchIndex: 0 });
  },

  onSnapshotChunk(state: ReplicaState, chunk: SnapshotChunk): void {
    if (chunk.lastIndex <= state.commitIndex) {
      sendSnapshotReply(state, chunk, { offset: 0, done: true });
      return;
    }
    const partial = state.incomingSnapshot;
    const isNextChunk = partial !== undefined &&
      partial.lastIndex === chunk.lastIndex &&
      partial.lastTerm === chunk.lastTerm &&
      partial.data.length === chunk.offset;
    if (!isNextChunk && chunk.offset !== 0) {
      const isSameSnapshot = partial?.lastIndex === chunk.lastIndex;
      const offset = isSameSnapshot ? partial!.data.length : 0;
      sendSnapshotReply(state, chunk, { offset, done: false });
      return;
    }
    const data = (isNextChunk ? partial.data : "") + chunk.data;
    state.incomingSnapshot = {
      lastIndex: chunk.lastIndex,
      lastTerm: chunk.lastTerm,
      data,
    };
    if (chunk.done) {
      installSnapshot(state, {
        ...state.incomingSnapshot,
        members: chunk.members,
      });
    }
    sendSnapshotReply(state, chunk, { offset: data.length, done: chunk.done });
  },
};

function matchesPreviousEntry(state: ReplicaState, message: Append): boolean {
  if (message.previousIndex <= state.commitIndex) {
    return true;
  }
  return state.log.termAt(message.previousIndex) === message.previousTerm;
}

/** Drops entries that conflict with the leader's and appends missing ones. */
function appendMissingEntries(
  state: ReplicaState,
  entries: readonly LogEntry[],
): LogEntry[] {
  const appended: LogEntry[] = [];
  for (const entry of entries) {
    if (entry.index <= state.commitIndex) {
      continue;
    }
    const localTerm = state.log.termAt(entry.index);
    if (localTerm === entry.term) {
      continue;
    }
    if (localTerm !== undefined) {
      commitment.truncate(state, entry.index);
    }
    state.log.append(entry);
    appended.push(entry);
    if (entry.kind === "members") {
      state.members = entry.payload as ReplicaMember[];
      state.membersIndex = entry.index;
    }
  }
  return appended;
}

function installSnapshot(state: ReplicaState, snapshot: LogSnapshot): void {
  state.incomingSnapshot = undefined;
  state.snapshot = snapshot;
  commitment.truncate(state, state.log.baseIndex + 1);
  state.log.reset(snapshot.lastIndex, snapshot.lastTerm);
  state.members = snapshot.members;
  state.membersIndex = snapshot.lastIndex;
  state.commitIndex = snapshot.lastIndex;
  state.appliedIndex = snapshot.lastIndex;
  emit.persist(state, [
    { kind: "vote", term: state.term, votedFor: state.votedFor },
  ], snapshot);
  state.effects.push({ kind: "restore", snapshot });
}

function sendAppendReply(
  state: ReplicaState,
  message: Append | SnapshotChunk,
  result: Pick<AppendReply, "success" | "matchIndex">,
): void {
  emit.sendAfterSync(state, message.from, {
    kind: "append_reply",
    term: state.term,
    from: state.settings.id,
    round: message.round,
    ...result,
  });
}

function sendSnapshotReply(
  state: ReplicaState,
  chunk: SnapshotChunk,
  result: { offset: number; done: boolean },
): void {
  emit.sendAfterSync(state, chunk.from, {
    kind: "snapshot_reply",
    term: state.term,
    from: state.settings.id,
    lastIndex: chunk.lastIndex,
    round: chunk.round,
    ...result,
  });
}

import type {
  Append,
  AppendReply,
  EntryChunk,
  LogEntry,
  LogSnapshot,
  ReplicaMember,
  SnapshotChunk,
} from "@heroncleat/schema";
import { commitment } from "./commitment.ts";
import { emit } from "./emit.ts";
import type { IncomingTransfer } from "./incoming_transfer.ts";
import { receiveChunk } from "./receive_chunk.ts";
import type { ReplicaState } from "./replica_state.ts";

/** What replies to any message of a leader need. */
type LeaderMessage = Pick<Append, "from" | "round">;

/**
 * Behavior of a follower: appends entries and installs snapshots of its leader.
 *
 * @internal
 */
export const followerRole = {
  onAppend(state: ReplicaState, message: Omit<Append, "kind">): void {
    if (!matchesPreviousEntry(state, message)) {
      rejectMismatch(state, message);
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

  /** Appends an entry once all of its chunks have arrived. */
  onEntryChunk(state: ReplicaState, chunk: EntryChunk): void {
    const index = chunk.previousIndex + 1;
    const hasEntry = index <= state.commitIndex ||
      state.log.termAt(index) === chunk.entryTerm;
    if (hasEntry) {
      sendAppendReply(state, chunk, { success: true, matchIndex: index });
      return;
    }
    if (!matchesPreviousEntry(state, chunk)) {
      rejectMismatch(state, chunk);
      return;
    }
    const transfer = receiveChunk(state.incomingEntry, { ...chunk, index });
    state.incomingEntry = transfer;
    if (!isComplete(transfer, chunk)) {
      sendEntryChunkReply(state, chunk, transfer.data.length);
      return;
    }
    state.incomingEntry = undefined;
    const entry = JSON.parse(transfer.data) as LogEntry;
    followerRole.onAppend(state, { ...chunk, entries: [entry] });
  },

  /** Rejects a message of a stale term, so that its sender steps down. */
  rejectStaleTerm(
    state: ReplicaState,
    message: Append | EntryChunk | SnapshotChunk,
  ): void {
    sendAppendReply(state, message, { success: false, matchIndex: 0 });
  },

  onSnapshotChunk(state: ReplicaState, chunk: SnapshotChunk): void {
    if (chunk.lastIndex <= state.commitIndex) {
      sendSnapshotReply(state, chunk, { offset: 0, done: true });
      return;
    }
    const { lastIndex, lastTerm, members } = chunk;
    const transfer = receiveChunk(state.incomingSnapshot, {
      ...chunk,
      index: lastIndex,
    });
    state.incomingSnapshot = transfer;
    const done = isComplete(transfer, chunk);
    if (done) {
      installSnapshot(state, {
        lastIndex,
        lastTerm,
        members,
        data: transfer.data,
      });
    }
    sendSnapshotReply(state, chunk, { offset: transfer.data.length, done });
  },
};

/** Whether a chunk was the last one and none before it is missing. */
function isComplete(
  transfer: IncomingTransfer,
  chunk: EntryChunk | SnapshotChunk,
): boolean {
  const end = chunk.offset + chunk.data.length;
  return chunk.done && transfer.data.length === end;
}

/** Position of a message in the leader's log. */
type LogPosition = Pick<Append, "previousIndex" | "previousTerm">;

function matchesPreviousEntry(
  state: ReplicaState,
  message: LogPosition,
): boolean {
  if (message.previousIndex <= state.commitIndex) {
    return true;
  }
  return state.log.termAt(message.previousIndex) === message.previousTerm;
}

function rejectMismatch(
  state: ReplicaState,
  message: LeaderMessage & LogPosition,
): void {
  const hint = Math.min(state.log.lastIndex, message.previousIndex - 1);
  sendAppendReply(state, message, {
    success: false,
    matchIndex: Math.max(0, hint),
  });
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
  message: LeaderMessage,
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

function sendEntryChunkReply(
  state: ReplicaState,
  chunk: EntryChunk,
  offset: number,
): void {
  emit.sendAfterSync(state, chunk.from, {
    kind: "entry_chunk_reply",
    term: state.term,
    from: state.settings.id,
    index: chunk.previousIndex + 1,
    offset,
    round: chunk.round,
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

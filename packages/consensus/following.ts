import type {
  Append,
  AppendReply,
  LogEntry,
  LogSnapshot,
  ReplicaMember,
  SnapshotChunk,
} from "@heroncleat/schema";
import { committing } from "./committing.ts";
import { output } from "./output.ts";
import type { ReplicaState } from "./replica_state.ts";

/**
 * What a follower does with entries and snapshots from its leader.
 *
 * @internal
 */
export const following = {
  onAppend(state: ReplicaState, message: Append): void {
    if (!holdsPrevious(state, message)) {
      const hint = Math.min(state.log.lastIndex, message.previousIndex - 1);
      reply(state, message, { success: false, matchIndex: Math.max(0, hint) });
      return;
    }
    const added = takeEntries(state, message.entries);
    if (added.length > 0) {
      output.persist(state, [{ kind: "entries", entries: added }]);
    }
    const matchIndex = message.previousIndex + message.entries.length;
    committing.commitTo(state, Math.min(message.commit, matchIndex));
    reply(state, message, { success: true, matchIndex });
  },

  /** Answers a message of an old term, so that its sender steps down. */
  refuseOldTerm(state: ReplicaState, message: Append | SnapshotChunk): void {
    reply(state, message, { success: false, matchIndex: 0 });
  },

  onSnapshotChunk(state: ReplicaState, chunk: SnapshotChunk): void {
    if (chunk.lastIndex <= state.commitIndex) {
      replyToChunk(state, chunk, { offset: 0, done: true });
      return;
    }
    const known = state.incoming;
    const fits = known !== undefined && known.lastIndex === chunk.lastIndex &&
      known.lastTerm === chunk.lastTerm && known.data.length === chunk.offset;
    if (!fits && chunk.offset !== 0) {
      const same = known?.lastIndex === chunk.lastIndex;
      const offset = same ? known!.data.length : 0;
      replyToChunk(state, chunk, { offset, done: false });
      return;
    }
    const data = (fits ? known.data : "") + chunk.data;
    state.incoming = {
      lastIndex: chunk.lastIndex,
      lastTerm: chunk.lastTerm,
      data,
    };
    if (chunk.done) {
      install(state, { ...state.incoming, members: chunk.members });
    }
    replyToChunk(state, chunk, { offset: data.length, done: chunk.done });
  },
};

function holdsPrevious(state: ReplicaState, message: Append): boolean {
  if (message.previousIndex <= state.commitIndex) {
    return true;
  }
  return state.log.termAt(message.previousIndex) === message.previousTerm;
}

/** Appends what is missing, after dropping what contradicts the leader. */
function takeEntries(
  state: ReplicaState,
  entries: readonly LogEntry[],
): LogEntry[] {
  const added: LogEntry[] = [];
  for (const entry of entries) {
    if (entry.index <= state.commitIndex) {
      continue;
    }
    const present = state.log.termAt(entry.index);
    if (present === entry.term) {
      continue;
    }
    if (present !== undefined) {
      committing.truncate(state, entry.index);
    }
    state.log.append(entry);
    added.push(entry);
    if (entry.kind === "members") {
      state.members = entry.payload as ReplicaMember[];
      state.membersIndex = entry.index;
    }
  }
  return added;
}

function install(state: ReplicaState, snapshot: LogSnapshot): void {
  state.incoming = undefined;
  state.snapshot = snapshot;
  committing.truncate(state, state.log.baseIndex + 1);
  state.log.reset(snapshot.lastIndex, snapshot.lastTerm);
  state.members = snapshot.members;
  state.membersIndex = snapshot.lastIndex;
  state.commitIndex = snapshot.lastIndex;
  state.appliedIndex = snapshot.lastIndex;
  output.persist(state, [
    { kind: "vote", term: state.term, votedFor: state.votedFor },
  ], snapshot);
  state.effects.push({ kind: "restore", snapshot });
}

function reply(
  state: ReplicaState,
  message: Append | SnapshotChunk,
  result: Pick<AppendReply, "success" | "matchIndex">,
): void {
  output.sendAfterSync(state, message.from, {
    kind: "append_reply",
    term: state.term,
    from: state.settings.id,
    round: message.round,
    ...result,
  });
}

function replyToChunk(
  state: ReplicaState,
  chunk: SnapshotChunk,
  result: { offset: number; done: boolean },
): void {
  output.sendAfterSync(state, chunk.from, {
    kind: "snapshot_reply",
    term: state.term,
    from: state.settings.id,
    lastIndex: chunk.lastIndex,
    round: chunk.round,
    ...result,
  });
}

import type { Append, LogEntry } from "@heroncleat/schema";
import type { FollowerProgress } from "./follower_progress.ts";
import type { ClockReading } from "./clock_reading.ts";
import type { Leadership } from "./leadership.ts";
import { emit } from "./emit.ts";
import type { OutgoingTransfer } from "./outgoing_transfer.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Heartbeat rounds whose send time is kept until a quorum confirms them. */
const MAX_UNCONFIRMED_ROUNDS = 1000;

/**
 * Sends the leader's log to the other members: one message with entries or one
 * chunk at a time, each of bounded size, so that heartbeats aren't held up
 * behind the log on a slow link.
 *
 * @internal
 */
export const replication = {
  /** Returns a member's progress, creating it if needed; none for the leader. */
  ensureProgress(
    state: ReplicaState,
    leadership: Leadership,
    id: string,
  ): FollowerProgress | undefined {
    if (id === state.settings.id) {
      return undefined;
    }
    const existing = leadership.progress.get(id);
    if (existing !== undefined) {
      return existing;
    }
    const progress: FollowerProgress = {
      matchIndex: 0,
      nextIndex: state.log.lastIndex + 1,
      unacknowledged: undefined,
      transfer: undefined,
      sendsSinceProgress: 0,
      lastContactAt: leadership.lastQuorumContactAt,
      round: 0,
    };
    leadership.progress.set(id, progress);
    return progress;
  },

  /** Sends a numbered heartbeat, with the entries that members lack. */
  startHeartbeatRound(state: ReplicaState, at: ClockReading): void {
    const leadership = state.leadership!;
    leadership.round += 1;
    leadership.roundSentAt.set(leadership.round, at.now);
    if (leadership.roundSentAt.size > MAX_UNCONFIRMED_ROUNDS) {
      leadership.roundSentAt.delete(leadership.round - MAX_UNCONFIRMED_ROUNDS);
    }
    leadership.nextHeartbeatAt = at.now + state.settings.heartbeatInterval;
    for (const member of state.members) {
      const progress = replication.ensureProgress(state, leadership, member.id);
      if (progress === undefined) {
        continue;
      }
      if (progress.unacknowledged !== undefined) {
        sendHeartbeat(state, member.id, progress);
        continue;
      }
      sendNext(state, member.id, { progress, sendsWhenEmpty: true });
    }
  },

  /** Sends missing entries to every member that has acknowledged the last. */
  sendEntriesToAll(state: ReplicaState): void {
    for (const member of state.members) {
      replication.sendEntriesTo(state, member.id);
    }
  },

  sendEntriesTo(state: ReplicaState, id: string): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
      return;
    }
    const progress = replication.ensureProgress(state, leadership, id);
    if (progress !== undefined && progress.unacknowledged === undefined) {
      sendNext(state, id, { progress, sendsWhenEmpty: false });
    }
  },
};

function sendNext(
  state: ReplicaState,
  id: string,
  options: { progress: FollowerProgress; sendsWhenEmpty: boolean },
): void {
  const { progress, sendsWhenEmpty } = options;
  progress.transfer ??= startTransferIfNeeded(state, progress.nextIndex);
  if (progress.transfer !== undefined) {
    sendChunk(state, id, { progress, transfer: progress.transfer });
    return;
  }
  const { maxAppendEntries, maxAppendBytes } = state.settings;
  const entries = state.log.slice(progress.nextIndex, {
    maxEntries: maxAppendEntries,
    maxBytes: maxAppendBytes,
  });
  if (entries.length === 0 && !sendsWhenEmpty) {
    return;
  }
  emit.send(state, id, createAppend(state, progress.nextIndex, entries));
  if (entries.length > 0) {
    awaitReply(state, progress, progress.nextIndex + entries.length - 1);
  }
}

/** Starts a transfer if the next entry is compacted or fits no message. */
function startTransferIfNeeded(
  state: ReplicaState,
  nextIndex: number,
): OutgoingTransfer | undefined {
  const { log, snapshot, settings } = state;
  if (nextIndex <= log.baseIndex) {
    return {
      kind: "snapshot",
      snapshot,
      index: snapshot.lastIndex,
      data: snapshot.data,
      offset: 0,
    };
  }
  const entry = log.entryAt(nextIndex);
  if (
    entry === undefined || log.bytesAt(nextIndex) <= settings.maxAppendBytes
  ) {
    return undefined;
  }
  return {
    kind: "entry",
    entry,
    previousTerm: log.termAt(nextIndex - 1) ?? 0,
    index: nextIndex,
    data: JSON.stringify(entry),
    offset: 0,
  };
}

function sendChunk(
  state: ReplicaState,
  id: string,
  options: { progress: FollowerProgress; transfer: OutgoingTransfer },
): void {
  const { progress, transfer } = options;
  const end = transfer.offset + state.settings.chunkLength;
  const chunk = {
    term: state.term,
    from: state.settings.id,
    offset: transfer.offset,
    data: transfer.data.slice(transfer.offset, end),
    done: end >= transfer.data.length,
    round: state.leadership!.round,
  };
  if (transfer.kind === "snapshot") {
    const { lastIndex, lastTerm, members } = transfer.snapshot;
    emit.send(state, id, {
      kind: "snapshot_chunk",
      lastIndex,
      lastTerm,
      members,
      ...chunk,
    });
  } else {
    emit.send(state, id, {
      kind: "entry_chunk",
      previousIndex: transfer.index - 1,
      previousTerm: transfer.previousTerm,
      entryTerm: transfer.entry.term,
      commit: state.commitIndex,
      ...chunk,
    });
  }
  awaitReply(state, progress, transfer.index);
}

function awaitReply(
  state: ReplicaState,
  progress: FollowerProgress,
  index: number,
): void {
  progress.unacknowledged = { round: state.leadership!.round, index };
  progress.sendsSinceProgress += 1;
}

function sendHeartbeat(
  state: ReplicaState,
  id: string,
  progress: FollowerProgress,
): void {
  // The member has the log up to its match index, so this doesn't conflict with
  // what it hasn't acknowledged. If that entry is compacted, its term isn't
  // known any more; every member has the empty log before the first entry.
  const isKnown = progress.matchIndex >= state.log.baseIndex;
  const nextIndex = isKnown ? progress.matchIndex + 1 : 1;
  emit.send(state, id, createAppend(state, nextIndex, []));
}

function createAppend(
  state: ReplicaState,
  nextIndex: number,
  entries: readonly LogEntry[],
): Append {
  return {
    kind: "append",
    term: state.term,
    from: state.settings.id,
    previousIndex: nextIndex - 1,
    previousTerm: state.log.termAt(nextIndex - 1) ?? 0,
    entries: [...entries],
    commit: state.commitIndex,
    round: state.leadership!.round,
  };
}

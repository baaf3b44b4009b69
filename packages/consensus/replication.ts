import type { Append, SnapshotChunk } from "@heroncleat/schema";
import type { FollowerProgress } from "./follower_progress.ts";
import type { ClockReading } from "./clock_reading.ts";
import type { Leadership } from "./leadership.ts";
import { emit } from "./emit.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Rounds whose send time is remembered while no quorum answers. */
const MAX_UNCONFIRMED_ROUNDS = 1000;

/**
 * What a leader sends to the other members.
 *
 * @internal
 */
export const replication = {
  /** Starts to follow the progress of a member. */
  ensureProgress(
    state: ReplicaState,
    leadership: Leadership,
    id: string,
  ): FollowerProgress | undefined {
    if (id === state.settings.id) {
      return undefined;
    }
    const known = leadership.progress.get(id);
    if (known !== undefined) {
      return known;
    }
    const progress: FollowerProgress = {
      matchIndex: 0,
      nextIndex: state.log.lastIndex + 1,
      hasRequestInFlight: false,
      sentAt: 0,
      lastContactAt: leadership.lastQuorumContactAt,
      round: 0,
      snapshotOffset: 0,
      snapshotIndex: 0,
    };
    leadership.progress.set(id, progress);
    return progress;
  },

  /** Sends a numbered heartbeat, with entries where some are missing. */
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
      const waited = at.now - progress.sentAt;
      if (
        progress.hasRequestInFlight && waited < state.settings.electionTimeout
      ) {
        sendHeartbeat(state, member.id, progress);
        continue;
      }
      progress.hasRequestInFlight = false;
      sendEntriesOrSnapshot(state, member.id, { progress, at, always: true });
    }
  },

  /** Sends missing entries to every member that isn't busy with some. */
  sendEntriesToAll(state: ReplicaState, at: ClockReading): void {
    for (const member of state.members) {
      replication.sendEntriesTo(state, member.id, at);
    }
  },

  sendEntriesTo(state: ReplicaState, id: string, at: ClockReading): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
      return;
    }
    const progress = replication.ensureProgress(state, leadership, id);
    if (progress !== undefined && !progress.hasRequestInFlight) {
      sendEntriesOrSnapshot(state, id, { progress, at, always: false });
    }
  },
};

function sendEntriesOrSnapshot(
  state: ReplicaState,
  id: string,
  options: { progress: FollowerProgress; at: ClockReading; always: boolean },
): void {
  const { progress, at, always } = options;
  if (progress.nextIndex <= state.log.baseIndex) {
    sendSnapshotChunk(state, id, { progress, at });
    return;
  }
  const most = state.settings.maxAppendEntries;
  const entries = state.log.slice(progress.nextIndex, most);
  if (entries.length === 0 && !always) {
    return;
  }
  emit.send(state, id, createAppend(state, progress.nextIndex, entries));
  if (entries.length > 0) {
    progress.hasRequestInFlight = true;
    progress.sentAt = at.now;
  }
}

function sendHeartbeat(
  state: ReplicaState,
  id: string,
  progress: FollowerProgress,
): void {
  // The match index is known to be held, so this never contradicts what is
  // on its way.
  const next = Math.max(progress.matchIndex, state.log.baseIndex) + 1;
  emit.send(state, id, createAppend(state, next, []));
}

function createAppend(
  state: ReplicaState,
  nextIndex: number,
  entries: Append["entries"],
): Append {
  return {
    kind: "append",
    term: state.term,
    from: state.settings.id,
    previousIndex: nextIndex - 1,
    previousTerm: state.log.termAt(nextIndex - 1) ?? 0,
    entries,
    commit: state.commitIndex,
    round: state.leadership!.round,
  };
}

function sendSnapshotChunk(
  state: ReplicaState,
  id: string,
  options: { progress: FollowerProgress; at: ClockReading },
): void {
  const { progress, at } = options;
  const { snapshot } = state;
  if (progress.snapshotIndex !== snapshot.lastIndex) {
    progress.snapshotIndex = snapshot.lastIndex;
    progress.snapshotOffset = 0;
  }
  const end = progress.snapshotOffset + state.settings.snapshotChunkLength;
  const message: SnapshotChunk = {
    kind: "snapshot_chunk",
    term: state.term,
    from: state.settings.id,
    lastIndex: snapshot.lastIndex,
    lastTerm: snapshot.lastTerm,
    members: snapshot.members,
    offset: progress.snapshotOffset,
    data: snapshot.data.slice(progress.snapshotOffset, end),
    done: end >= snapshot.data.length,
    round: state.leadership!.round,
  };
  emit.send(state, id, message);
  progress.hasRequestInFlight = true;
  progress.sentAt = at.now;
}

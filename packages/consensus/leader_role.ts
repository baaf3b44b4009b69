import type {
  AppendReply,
  EntryChunkReply,
  LogEntry,
  ReplicaMember,
  SnapshotReply,
} from "@heroncleat/schema";
import { commitment } from "./commitment.ts";
import type { FollowerProgress } from "./follower_progress.ts";
import type { ClockReading } from "./clock_reading.ts";
import type { Leadership } from "./leadership.ts";
import { emit } from "./emit.ts";
import { quorum } from "./quorum.ts";
import { ReplicaRole } from "./replica_role.ts";
import type { ReplicaState } from "./replica_state.ts";
import { replication } from "./replication.ts";

type MemberReply = AppendReply | EntryChunkReply | SnapshotReply;

/**
 * Behavior of a leader: appends entries, processes replies, confirms reads and
 * extends its lease.
 *
 * @internal
 */
export const leaderRole = {
  begin(state: ReplicaState, at: ClockReading): void {
    state.role = ReplicaRole.leader;
    state.leader = state.settings.id;
    state.isPreVoting = false;
    state.incomingSnapshot = undefined;
    state.incomingEntry = undefined;
    state.leadership = createLeadership(state, at);
    emit.role(state);
    // Entries of earlier terms commit only once an entry of this term does.
    leaderRole.append(state, { kind: "noop", payload: null });
    replication.startHeartbeatRound(state, at);
  },

  end(state: ReplicaState): void {
    if (state.leadership === undefined) {
      return;
    }
    for (const read of state.leadership.pendingReads) {
      emit.reject(state, read.token, "not_leader");
    }
    state.leadership = undefined;
  },

  /** Appends an entry of this term and returns its index. */
  append(
    state: ReplicaState,
    content: Pick<LogEntry, "kind" | "payload">,
  ): number {
    const index = state.log.lastIndex + 1;
    const entry: LogEntry = { index, term: state.term, ...content };
    state.log.append(entry);
    if (entry.kind === "members") {
      state.members = entry.payload as ReplicaMember[];
      state.membersIndex = index;
      forgetFormerMembers(state);
    }
    emit.persist(state, [{ kind: "entries", entries: [entry] }]);
    return index;
  },

  onAppendReply(
    state: ReplicaState,
    reply: AppendReply,
    at: ClockReading,
  ): void {
    const progress = recordContact(state, reply, at);
    if (progress === undefined) {
      return;
    }
    if (reply.success) {
      acknowledge(state, progress, reply.matchIndex);
    } else {
      goBack(progress, reply);
    }
    continueReplication(state, { progress, reply, at });
  },

  onEntryChunkReply(
    state: ReplicaState,
    reply: EntryChunkReply,
    at: ClockReading,
  ): void {
    const progress = recordContact(state, reply, at);
    if (progress === undefined) {
      return;
    }
    advanceTransfer(progress, reply);
    continueReplication(state, { progress, reply, at });
  },

  onSnapshotReply(
    state: ReplicaState,
    reply: SnapshotReply,
    at: ClockReading,
  ): void {
    const progress = recordContact(state, reply, at);
    if (progress === undefined) {
      return;
    }
    if (reply.done) {
      acknowledge(state, progress, reply.lastIndex);
    } else {
      advanceTransfer(progress, { ...reply, index: reply.lastIndex });
    }
    continueReplication(state, { progress, reply, at });
  },

  /** Starts a heartbeat round when one is due. */
  tick(state: ReplicaState, at: ClockReading): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
      return;
    }
    if (at.now >= leadership.nextHeartbeatAt) {
      replication.startHeartbeatRound(state, at);
      leaderRole.confirmRounds(state, at);
    }
  },

  /** Whether the leader has had no quorum for one election timeout. */
  hasLostQuorum(state: ReplicaState, at: ClockReading): boolean {
    const leadership = state.leadership;
    if (leadership === undefined) {
      return false;
    }
    const oldestContactAt = at.now - state.settings.electionTimeout;
    const hasQuorumContact = quorum.hasMajority(state.members, (id) => {
      const progress = leadership.progress.get(id);
      return id === state.settings.id ||
        (progress !== undefined && progress.lastContactAt >= oldestContactAt);
    });
    if (hasQuorumContact) {
      leadership.lastQuorumContactAt = at.now;
    }
    return leadership.lastQuorumContactAt < oldestContactAt;
  },

  /**
   * Whether a leadership transfer timed out. Its message may still be in
   * transit, so the lease of this term can't be resumed.
   */
  hasFailedTransfer(state: ReplicaState, at: ClockReading): boolean {
    const leadership = state.leadership;
    return leadership !== undefined && leadership.isTransferring &&
      at.now - leadership.transferStartedAt > state.settings.electionTimeout;
  },

  startRead(state: ReplicaState, token: string, at: ClockReading): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
      emit.reject(state, token, "not_leader");
      return;
    }
    const hasUnsentReads = leadership.pendingReads.some((read) =>
      read.round > leadership.round
    );
    const isRoundConfirmed = leadership.confirmedRound === leadership.round;
    leadership.pendingReads.push({ token, round: leadership.round + 1 });
    if (isRoundConfirmed && !hasUnsentReads) {
      replication.startHeartbeatRound(state, at);
      leaderRole.confirmRounds(state, at);
    }
  },

  /** Extends the lease and completes reads whose round a quorum confirmed. */
  confirmRounds(state: ReplicaState, at: ClockReading): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
      return;
    }
    const confirmed = quorum.majorityValue(state.members, (id) => {
      if (id === state.settings.id) {
        return leadership.round;
      }
      return leadership.progress.get(id)?.round ?? 0;
    });
    if (confirmed > leadership.confirmedRound) {
      extendLease(state, leadership, confirmed);
    }
    completeReads(state, leadership);
    const hasUnsentReads = leadership.pendingReads.some((read) =>
      read.round > leadership.round
    );
    if (hasUnsentReads && leadership.confirmedRound === leadership.round) {
      replication.startHeartbeatRound(state, at);
    }
  },
};

function createLeadership(state: ReplicaState, at: ClockReading): Leadership {
  const leadership: Leadership = {
    progress: new Map(),
    round: 0,
    roundSentAt: new Map(),
    confirmedRound: 0,
    nextHeartbeatAt: at.now,
    lastQuorumContactAt: at.now,
    leaseUntil: 0,
    isTransferring: false,
    transferStartedAt: 0,
    termStartIndex: state.log.lastIndex + 1,
    pendingReads: [],
  };
  for (const member of state.members) {
    replication.ensureProgress(state, leadership, member.id);
  }
  return leadership;
}

function recordContact(
  state: ReplicaState,
  reply: MemberReply,
  at: ClockReading,
): FollowerProgress | undefined {
  if (reply.term !== state.term) {
    return undefined;
  }
  const progress = state.leadership?.progress.get(reply.from);
  if (progress === undefined) {
    return undefined;
  }
  progress.lastContactAt = at.now;
  progress.round = Math.max(progress.round, reply.round);
  return progress;
}

/** Records that a member has the log up to an index. */
function acknowledge(
  state: ReplicaState,
  progress: FollowerProgress,
  index: number,
): void {
  if (index > progress.matchIndex) {
    progress.matchIndex = index;
    progress.sendsSinceProgress = 0;
  }
  const { matchIndex, transfer, unacknowledged } = progress;
  progress.nextIndex = Math.max(progress.nextIndex, matchIndex + 1);
  if (transfer !== undefined && transfer.index <= matchIndex) {
    progress.transfer = undefined;
  }
  if (unacknowledged !== undefined && unacknowledged.index <= matchIndex) {
    progress.unacknowledged = undefined;
  }
  commitment.advance(state);
}

/** Continues at an earlier entry, as the member's log differs before the last. */
function goBack(progress: FollowerProgress, reply: AppendReply): void {
  const { unacknowledged } = progress;
  if (unacknowledged !== undefined && reply.round < unacknowledged.round) {
    return;
  }
  progress.unacknowledged = undefined;
  progress.transfer = undefined;
  progress.nextIndex = Math.max(
    progress.matchIndex + 1,
    Math.min(progress.nextIndex - 1, reply.matchIndex + 1),
  );
}

/** Moves a transfer to the offset that the member has received. */
function advanceTransfer(
  progress: FollowerProgress,
  reply: { index: number; offset: number; round: number },
): void {
  const { transfer, unacknowledged } = progress;
  if (transfer === undefined || transfer.index !== reply.index) {
    return;
  }
  const isNewer = unacknowledged === undefined ||
    reply.round >= unacknowledged.round;
  // A restarted member has lost what it had received.
  if (reply.offset > transfer.offset) {
    progress.sendsSinceProgress = 0;
  } else if (reply.offset === transfer.offset || !isNewer) {
    return;
  }
  transfer.offset = reply.offset;
  progress.unacknowledged = undefined;
}

/** Sends what is next; what was lost on the way is sent again. */
function continueReplication(
  state: ReplicaState,
  options: {
    progress: FollowerProgress;
    reply: MemberReply;
    at: ClockReading;
  },
): void {
  const { progress, reply, at } = options;
  const { unacknowledged } = progress;
  if (unacknowledged !== undefined && reply.round > unacknowledged.round) {
    progress.unacknowledged = undefined;
  }
  leaderRole.confirmRounds(state, at);
  replication.sendEntriesTo(state, reply.from);
}

/** One that is added again isn't judged by its silence while it was none. */
function forgetFormerMembers({ leadership, members }: ReplicaState): void {
  for (const id of leadership?.progress.keys() ?? []) {
    if (!members.some((member) => member.id === id)) {
      leadership!.progress.delete(id);
    }
  }
}

function extendLease(
  state: ReplicaState,
  leadership: Leadership,
  confirmed: number,
): void {
  const sentAt = leadership.roundSentAt.get(confirmed);
  leadership.confirmedRound = confirmed;
  for (const round of leadership.roundSentAt.keys()) {
    if (round <= confirmed) {
      leadership.roundSentAt.delete(round);
    }
  }
  if (sentAt === undefined || leadership.isTransferring) {
    return;
  }
  const { electionTimeout, clockDrift } = state.settings;
  // Followers refuse votes from a later moment on, measured by a clock that
  // may run faster by up to the drift bound.
  const leaseUntil = sentAt + electionTimeout * (1 - clockDrift);
  leadership.leaseUntil = Math.max(leadership.leaseUntil, leaseUntil);
}

function completeReads(state: ReplicaState, leadership: Leadership): void {
  if (state.commitIndex < leadership.termStartIndex) {
    return;
  }
  while (leadership.pendingReads.length > 0) {
    const read = leadership.pendingReads[0]!;
    if (read.round > leadership.confirmedRound) {
      return;
    }
    leadership.pendingReads.shift();
    state.effects.push({
      kind: "read_ready",
      token: read.token,
      index: state.commitIndex,
    });
  }
}

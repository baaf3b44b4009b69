import type {
  AppendReply,
  LogEntry,
  ReplicaMember,
  SnapshotReply,
} from "@heroncleat/schema";
import { committing } from "./committing.ts";
import type { FollowerProgress } from "./follower_progress.ts";
import type { Instant } from "./instant.ts";
import type { Leadership } from "./leadership.ts";
import { output } from "./output.ts";
import { quorum } from "./quorum.ts";
import { ReplicaRole } from "./replica_role.ts";
import type { ReplicaState } from "./replica_state.ts";
import { sending } from "./sending.ts";

/**
 * What a leader does: append, hear answers, confirm reads, keep its lease.
 *
 * @internal
 */
export const leading = {
  begin(state: ReplicaState, at: Instant): void {
    state.role = ReplicaRole.leader;
    state.leader = state.settings.id;
    state.preVoting = false;
    state.leadership = createLeadership(state, at);
    output.role(state);
    // Nothing is known to be committed until an entry of this term is.
    leading.append(state, { kind: "noop", payload: null });
    sending.startRound(state, at);
  },

  end(state: ReplicaState): void {
    if (state.leadership === undefined) {
      return;
    }
    for (const read of state.leadership.reads) {
      output.reject(state, read.token, "not_leader");
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
    }
    output.persist(state, [{ kind: "entries", entries: [entry] }]);
    return index;
  },

  onAppendReply(state: ReplicaState, reply: AppendReply, at: Instant): void {
    const progress = hear(state, reply, at);
    if (progress === undefined) {
      return;
    }
    progress.inFlight = false;
    if (reply.success) {
      progress.matchIndex = Math.max(progress.matchIndex, reply.matchIndex);
      progress.nextIndex = Math.max(
        progress.nextIndex,
        progress.matchIndex + 1,
      );
      committing.advance(state);
    } else {
      progress.nextIndex = Math.max(
        progress.matchIndex + 1,
        Math.min(progress.nextIndex - 1, reply.matchIndex + 1),
      );
    }
    leading.confirmRounds(state, at);
    sending.entriesTo(state, reply.from, at);
  },

  onSnapshotReply(
    state: ReplicaState,
    reply: SnapshotReply,
    at: Instant,
  ): void {
    const progress = hear(state, reply, at);
    if (progress === undefined) {
      return;
    }
    progress.inFlight = false;
    if (progress.snapshotIndex === reply.lastIndex) {
      progress.snapshotOffset = reply.offset;
    }
    if (reply.done) {
      progress.matchIndex = Math.max(progress.matchIndex, reply.lastIndex);
      progress.nextIndex = progress.matchIndex + 1;
      progress.snapshotIndex = 0;
      committing.advance(state);
    }
    leading.confirmRounds(state, at);
    sending.entriesTo(state, reply.from, at);
  },

  /** Heartbeats, the quorum check and repeated sends. */
  tick(state: ReplicaState, at: Instant): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
      return;
    }
    if (at.now >= leadership.heartbeatAt) {
      sending.startRound(state, at);
      leading.confirmRounds(state, at);
    }
  },

  /** Whether a leader has gone without its quorum for too long. */
  hasLostQuorum(state: ReplicaState, at: Instant): boolean {
    const leadership = state.leadership;
    if (leadership === undefined) {
      return false;
    }
    const limit = at.now - state.settings.electionTimeout;
    const hears = quorum.reached(state.members, (id) => {
      const progress = leadership.progress.get(id);
      return id === state.settings.id ||
        (progress !== undefined && progress.heardAt >= limit);
    });
    if (hears) {
      leadership.quorumHeardAt = at.now;
    }
    return leadership.quorumHeardAt < limit;
  },

  /**
   * Whether a transfer came to nothing. The request for it may still be on
   * its way, so the lease of this term can't be taken up again.
   */
  hasFailedTransfer(state: ReplicaState, at: Instant): boolean {
    const leadership = state.leadership;
    return leadership !== undefined && leadership.transferring &&
      at.now - leadership.transferStartedAt > state.settings.electionTimeout;
  },

  read(state: ReplicaState, token: string, at: Instant): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
      output.reject(state, token, "not_leader");
      return;
    }
    const waiting = leadership.reads.some((read) =>
      read.round > leadership.round
    );
    const idle = leadership.confirmedRound === leadership.round;
    leadership.reads.push({ token, round: leadership.round + 1 });
    if (idle && !waiting) {
      sending.startRound(state, at);
      leading.confirmRounds(state, at);
    }
  },

  /** Extends the lease and answers reads whose round a quorum confirmed. */
  confirmRounds(state: ReplicaState, at: Instant): void {
    const leadership = state.leadership;
    if (leadership === undefined) {
      return;
    }
    const confirmed = quorum.reachedValue(state.members, (id) => {
      if (id === state.settings.id) {
        return leadership.round;
      }
      return leadership.progress.get(id)?.round ?? 0;
    });
    if (confirmed > leadership.confirmedRound) {
      extendLease(state, leadership, confirmed);
    }
    answerReads(state, leadership);
    const waiting = leadership.reads.some((read) =>
      read.round > leadership.round
    );
    if (waiting && leadership.confirmedRound === leadership.round) {
      sending.startRound(state, at);
    }
  },
};

function createLeadership(state: ReplicaState, at: Instant): Leadership {
  const leadership: Leadership = {
    progress: new Map(),
    round: 0,
    roundSentAt: new Map(),
    confirmedRound: 0,
    heartbeatAt: at.now,
    quorumHeardAt: at.now,
    leaseUntil: 0,
    transferring: false,
    transferStartedAt: 0,
    firstIndex: state.log.lastIndex + 1,
    reads: [],
  };
  for (const member of state.members) {
    sending.track(state, leadership, member.id);
  }
  return leadership;
}

function hear(
  state: ReplicaState,
  reply: AppendReply | SnapshotReply,
  at: Instant,
): FollowerProgress | undefined {
  if (reply.term !== state.term) {
    return undefined;
  }
  const progress = state.leadership?.progress.get(reply.from);
  if (progress === undefined) {
    return undefined;
  }
  progress.heardAt = at.now;
  progress.round = Math.max(progress.round, reply.round);
  return progress;
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
  if (sentAt === undefined || leadership.transferring) {
    return;
  }
  const { electionTimeout, clockDrift } = state.settings;
  // Followers count their promise from a later moment and at worst with a
  // clock that runs faster by the drift bound.
  const until = sentAt + electionTimeout * (1 - clockDrift);
  leadership.leaseUntil = Math.max(leadership.leaseUntil, until);
}

function answerReads(state: ReplicaState, leadership: Leadership): void {
  if (state.commitIndex < leadership.firstIndex) {
    return;
  }
  while (leadership.reads.length > 0) {
    const read = leadership.reads[0]!;
    if (read.round > leadership.confirmedRound) {
      return;
    }
    leadership.reads.shift();
    state.effects.push({
      kind: "read_ready",
      token: read.token,
      index: state.commitIndex,
    });
  }
}

import type { Milliseconds, Random } from "@heroncleat/base";
import { unreachable } from "@heroncleat/base";
import type {
  ConsensusMessage,
  LogSnapshot,
  ReplicaMember,
} from "@heroncleat/schema";
import { commitment } from "./commitment.ts";
import { election } from "./election.ts";
import { followerRole } from "./follower_role.ts";
import type { ClockReading } from "./clock_reading.ts";
import { leaderRole } from "./leader_role.ts";
import { emit } from "./emit.ts";
import type { MemberProgress } from "./member_progress.ts";
import type { ReplicaEffect } from "./replica_effect.ts";
import type { ReplicaEvent } from "./replica_event.ts";
import { ReplicaRole } from "./replica_role.ts";
import type { ReplicaSettings } from "./replica_settings.ts";
import type { ReplicaState } from "./replica_state.ts";
import { restoreState } from "./restore_state.ts";
import { replication } from "./replication.ts";
import type { StoredReplica } from "./stored_replica.ts";

/**
 * One member of a replicated log, based on Raft (Ongaro and Ousterhout, 2014)
 * with pre-vote, quorum checks, leader leases, linearizable reads (read index),
 * learners, single-server membership changes and chunked snapshots. It does no
 * I/O: `handle` takes an event and returns the effects for its owner to carry
 * out.
 *
 * @public
 * @example
 * const effects = replica.handle({ kind: "tick" }, { now, steady });
 */
export class Replica {
  #state: ReplicaState;

  constructor(
    settings: ReplicaSettings,
    options: { random: Random; stored: StoredReplica; at: ClockReading },
  ) {
    this.#state = restoreState(settings, options);
  }

  get role(): typeof ReplicaRole[keyof typeof ReplicaRole] {
    return this.#state.role;
  }

  get term(): number {
    return this.#state.term;
  }

  /** Disk identity of the leader; empty when none is known. */
  get leader(): string {
    return this.#state.leader;
  }

  get members(): readonly ReplicaMember[] {
    return this.#state.members;
  }

  get commitIndex(): number {
    return this.#state.commitIndex;
  }

  get lastIndex(): number {
    return this.#state.log.lastIndex;
  }

  get appliedIndex(): number {
    return this.#state.appliedIndex;
  }

  get snapshotIndex(): number {
    return this.#state.snapshot.lastIndex;
  }

  /**
   * End of the leader lease on the `now` clock; 0 without a lease. Check it
   * immediately before sending anything that depends on it.
   */
  get leaseUntil(): Milliseconds {
    const leadership = this.#state.leadership;
    if (leadership === undefined || leadership.isTransferring) {
      return 0;
    }
    const ready = this.#state.commitIndex >= leadership.termStartIndex;
    return ready ? leadership.leaseUntil : 0;
  }

  /** Last log index that a member is known to have; 0 unless leading. */
  matchIndexOf(id: string): number {
    return this.#state.leadership?.progress.get(id)?.matchIndex ?? 0;
  }

  /**
   * Size in bytes, as JSON, of the entries from index `from` to `to`, both
   * included; Infinity when some of them are compacted.
   */
  bytesBetween(from: number, to: number): number {
    return this.#state.log.bytesBetween(from, to);
  }

  /** What this leader knows of a member's log; undefined unless leading. */
  progressOf(id: string): MemberProgress | undefined {
    const progress = this.#state.leadership?.progress.get(id);
    return progress && {
      matchIndex: progress.matchIndex,
      nextIndex: progress.nextIndex,
      transferOffset: progress.transfer?.offset ?? 0,
      sendsSinceProgress: progress.sendsSinceProgress,
    };
  }

  /** Last reply of a member, on the `now` clock; Infinity unless leading. */
  lastContactAt(id: string): Milliseconds {
    return this.#state.leadership?.progress.get(id)?.lastContactAt ?? Infinity;
  }

  handle(event: ReplicaEvent, at: ClockReading): ReplicaEffect[] {
    const state = this.#state;
    state.effects = [];
    switch (event.kind) {
      case "tick":
        onTick(state, at);
        break;
      case "message":
        onMessage(state, event.message, at);
        break;
      case "propose":
        propose(state, event);
        break;
      case "change_members":
        changeMembers(state, event, at);
        break;
      case "read":
        leaderRole.startRead(state, event.token, at);
        break;
      case "persisted":
        commitment.onPersisted(state, event.number);
        leaderRole.confirmRounds(state, at);
        break;
      case "snapshot_taken":
        compactLog(state, event);
        break;
      case "step_down":
        transferLeadership(state, at);
        break;
      default:
        unreachable(event);
    }
    stepDownWhenRemoved(state, at);
    return state.effects;
  }
}

function onTick(state: ReplicaState, at: ClockReading): void {
  const mustStepDown = leaderRole.hasLostQuorum(state, at) ||
    leaderRole.hasFailedTransfer(state, at);
  if (mustStepDown) {
    election.becomeFollower(state, state.term, "", at);
    return;
  }
  leaderRole.tick(state, at);
  election.startPreVoteIfDue(state, at);
}

function onMessage(
  state: ReplicaState,
  message: ConsensusMessage,
  at: ClockReading,
): void {
  switch (message.kind) {
    case "vote_request":
      election.onVoteRequest(state, message, at);
      return;
    case "vote_reply":
      election.onVoteReply(state, message, at);
      return;
    case "append":
      if (election.acceptLeader(state, message, at)) {
        followerRole.onAppend(state, message);
      } else {
        followerRole.rejectStaleTerm(state, message);
      }
      return;
    case "snapshot_chunk":
      if (election.acceptLeader(state, message, at)) {
        followerRole.onSnapshotChunk(state, message);
      } else {
        followerRole.rejectStaleTerm(state, message);
      }
      return;
    case "entry_chunk":
      if (election.acceptLeader(state, message, at)) {
        followerRole.onEntryChunk(state, message);
      } else {
        followerRole.rejectStaleTerm(state, message);
      }
      return;
    case "append_reply":
      if (!stepDownOnNewerTerm(state, message.term, at)) {
        leaderRole.onAppendReply(state, message, at);
      }
      return;
    case "snapshot_reply":
      if (!stepDownOnNewerTerm(state, message.term, at)) {
        leaderRole.onSnapshotReply(state, message, at);
      }
      return;
    case "entry_chunk_reply":
      if (!stepDownOnNewerTerm(state, message.term, at)) {
        leaderRole.onEntryChunkReply(state, message, at);
      }
      return;
    case "transfer":
      if (message.term === state.term) {
        election.startTransferElection(state, at);
      }
      return;
    default:
      unreachable(message);
  }
}

function stepDownOnNewerTerm(
  state: ReplicaState,
  term: number,
  at: ClockReading,
): boolean {
  if (term <= state.term) {
    return false;
  }
  election.becomeFollower(state, term, "", at);
  return true;
}

function propose(
  state: ReplicaState,
  event: { token: string; command: unknown },
): void {
  if (!ensureCanPropose(state, event.token)) {
    return;
  }
  const index = leaderRole.append(state, {
    kind: "command",
    payload: event.command,
  });
  state.pendingProposals.set(index, { token: event.token, term: state.term });
  replication.sendEntriesToAll(state);
}

function ensureCanPropose(state: ReplicaState, token: string): boolean {
  const leadership = state.leadership;
  if (leadership === undefined || leadership.isTransferring) {
    emit.reject(state, token, "not_leader");
    return false;
  }
  return true;
}

function changeMembers(
  state: ReplicaState,
  event: { token: string; members: readonly ReplicaMember[] },
  at: ClockReading,
): void {
  if (!ensureCanPropose(state, event.token)) {
    return;
  }
  const ready = state.commitIndex >= state.leadership!.termStartIndex &&
    state.membersIndex <= state.commitIndex;
  if (!ready || countChangedVoters(state, event.members) > 1) {
    emit.reject(state, event.token, "members_busy");
    return;
  }
  const index = leaderRole.append(state, {
    kind: "members",
    payload: event.members,
  });
  state.pendingProposals.set(index, { token: event.token, term: state.term });
  replication.startHeartbeatRound(state, at);
}

/** Majorities surely overlap only if at most one voter changes at a time. */
function countChangedVoters(
  state: ReplicaState,
  members: readonly ReplicaMember[],
): number {
  const before = state.members.filter((member) => member.voter);
  const after = members.filter((member) => member.voter);
  const removed = before.filter((old) =>
    !after.some((member) => member.id === old.id)
  );
  const added = after.filter((member) =>
    !before.some((old) => old.id === member.id)
  );
  return removed.length + added.length;
}

function compactLog(
  state: ReplicaState,
  event: { index: number; data: string },
): void {
  const term = state.log.termAt(event.index);
  const isStale = event.index <= state.snapshot.lastIndex ||
    event.index > state.appliedIndex || term === undefined;
  if (isStale) {
    return;
  }
  const snapshot: LogSnapshot = {
    lastIndex: event.index,
    lastTerm: term,
    members: membersAt(state, event.index),
    data: event.data,
  };
  state.snapshot = snapshot;
  state.log.compact(findCompactionIndex(state, snapshot));
  const entries = state.log.entriesFrom(event.index + 1);
  emit.persist(state, [
    { kind: "vote", term: state.term, votedFor: state.votedFor },
    { kind: "entries", entries },
  ], snapshot);
}

/**
 * Index up to which entries are dropped. Those that are kept for slow members
 * cost no more to send than the snapshot would, apart from a small minimum.
 */
function findCompactionIndex(
  { log, settings }: ReplicaState,
  snapshot: LogSnapshot,
): number {
  const maxBytes = Math.max(settings.trailingBytes, snapshot.data.length);
  const lowest = Math.max(
    log.baseIndex,
    snapshot.lastIndex - settings.trailingEntries,
  );
  let index = snapshot.lastIndex;
  let bytes = 0;
  while (index > lowest) {
    bytes += log.bytesAt(index);
    if (bytes > maxBytes) {
      break;
    }
    index -= 1;
  }
  return index;
}

/** Member list as of a log index that is not yet compacted. */
function membersAt(state: ReplicaState, index: number): ReplicaMember[] {
  for (let current = index; current > state.log.baseIndex; current -= 1) {
    const entry = state.log.entryAt(current);
    if (entry?.kind === "members") {
      return entry.payload as ReplicaMember[];
    }
  }
  return [...state.snapshot.members];
}

/** Transfers leadership to the voter with the most complete log. */
function transferLeadership(state: ReplicaState, at: ClockReading): void {
  const leadership = state.leadership;
  if (leadership === undefined) {
    return;
  }
  leadership.isTransferring = true;
  leadership.transferStartedAt = at.now;
  const candidates = state.members
    .filter((member) => member.voter && member.id !== state.settings.id)
    .map((member) => ({
      id: member.id,
      matchIndex: leadership.progress.get(member.id)?.matchIndex ?? 0,
    }))
    .sort((left, right) => right.matchIndex - left.matchIndex);
  const successor = candidates[0];
  if (successor === undefined) {
    return;
  }
  replication.sendEntriesTo(state, successor.id);
  emit.send(state, successor.id, {
    kind: "transfer",
    term: state.term,
    from: state.settings.id,
  });
}

/** A leader that is no longer a voter leads until its removal commits. */
function stepDownWhenRemoved(state: ReplicaState, at: ClockReading): void {
  const isRemoved = state.leadership !== undefined &&
    !state.members.some((member) =>
      member.voter && member.id === state.settings.id
    ) && state.membersIndex <= state.commitIndex;
  if (isRemoved) {
    election.becomeFollower(state, state.term, "", at);
  }
}

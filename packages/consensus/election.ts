import type {
  Append,
  EntryChunk,
  SnapshotChunk,
  VoteReply,
  VoteRequest,
} from "@heroncleat/schema";
import type { ClockReading } from "./clock_reading.ts";
import { leaderRole } from "./leader_role.ts";
import { emit } from "./emit.ts";
import { quorum } from "./quorum.ts";
import { ReplicaRole } from "./replica_role.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Minimum pause between pre-votes, as a fraction of the election timeout. */
const PRE_VOTE_PAUSE_FRACTION = 0.15;

/**
 * Minimum time until an election that started because no voter leads is
 * retried, as a fraction of the election timeout. Replicas that start together
 * are likely to split the vote.
 */
const LEADERLESS_TIMEOUT_FRACTION = 0.25;

/** Value of `quietTerm` while some voter leads or may lead. */
const NOT_LEADERLESS = -1;

/**
 * Leader election with pre-vote (Raft, section 9.6 of Ongaro's dissertation). A
 * voter that may have heard a leader, or just restarted, grants no vote unless
 * no voter leads; leader leases rely on this.
 *
 * @internal
 */
export const election = {
  /** Sets the election timer to a random time of one to two timeouts. */
  resetTimer(state: ReplicaState, at: ClockReading): void {
    const timeout = state.settings.electionTimeout;
    state.electionDueAt = at.now + timeout + state.random() * timeout;
  },

  /**
   * Schedules the next pre-vote. A pre-vote changes no state of the other
   * replicas, so it may repeat much sooner than an election; a group that
   * restarts then elects a leader as soon as a quorum may vote.
   */
  schedulePreVoteRetry(state: ReplicaState, at: ClockReading): void {
    const pause = state.settings.electionTimeout * PRE_VOTE_PAUSE_FRACTION;
    state.electionDueAt = at.now + pause + state.random() * pause;
  },

  /** Starts a pre-vote when the election timer has expired. */
  startPreVoteIfDue(state: ReplicaState, at: ClockReading): void {
    if (state.role === ReplicaRole.leader || at.now < state.electionDueAt) {
      return;
    }
    // A jump of the wall clock affects `now` only. The leader's lease relies
    // on the time since the last contact as measured on the monotonic clock.
    // Without a known leader, a pre-vote may show that no lease is valid.
    if (state.leader !== "" && hasRecentLeaderContact(state, at)) {
      return;
    }
    if (state.leader !== "") {
      state.leader = "";
      emit.role(state);
    }
    if (!quorum.isVoter(state.members, state.settings.id)) {
      election.resetTimer(state, at);
      return;
    }
    election.schedulePreVoteRetry(state, at);
    startPreVote(state, at);
  },

  /** Schedules the first pre-vote after a replica has started. */
  scheduleFirstPreVote(state: ReplicaState, at: ClockReading): void {
    const pause = state.settings.electionTimeout * PRE_VOTE_PAUSE_FRACTION;
    state.electionDueAt = at.now + state.random() * pause;
  },

  /** Starts an election without pre-vote, at the leader's request. */
  startTransferElection(state: ReplicaState, at: ClockReading): void {
    if (quorum.isVoter(state.members, state.settings.id)) {
      startElection(state, at, { transfer: true, quietTerm: NOT_LEADERLESS });
    }
  },

  onVoteRequest(
    state: ReplicaState,
    request: VoteRequest,
    at: ClockReading,
  ): void {
    if (isVoteRefused(state, request, at)) {
      sendVoteReply(state, request, false);
      return;
    }
    if (!request.pre && request.term > state.term) {
      election.becomeFollower(state, request.term, "", at);
    }
    const granted = isUpToDate(state, request) && canVoteFor(state, request);
    if (granted && !request.pre) {
      state.votedFor = request.from;
      emit.persistVote(state);
      election.resetTimer(state, at);
    }
    sendVoteReply(state, request, granted);
  },

  onVoteReply(state: ReplicaState, reply: VoteReply, at: ClockReading): void {
    if (reply.term > state.term && !reply.granted) {
      election.becomeFollower(state, reply.term, "", at);
      return;
    }
    if (
      state.role === ReplicaRole.candidate && state.isPreVoting && reply.pre
    ) {
      onPreVoteReply(state, reply, at);
      return;
    }
    const isGrantedVote = state.role === ReplicaRole.candidate &&
      !state.isPreVoting && !reply.pre && reply.term === state.term &&
      reply.granted;
    if (!isGrantedVote) {
      return;
    }
    state.votes.add(reply.from);
    if (quorum.hasMajority(state.members, (id) => state.votes.has(id))) {
      leaderRole.begin(state, at);
    }
  },

  /** Follows the sender and returns true unless its term is stale. */
  acceptLeader(
    state: ReplicaState,
    message: Append | EntryChunk | SnapshotChunk,
    at: ClockReading,
  ): boolean {
    if (message.term < state.term) {
      return false;
    }
    const changed = message.term > state.term ||
      state.role !== ReplicaRole.follower || state.leader !== message.from;
    if (changed) {
      election.becomeFollower(state, message.term, message.from, at);
    }
    state.lastLeaderContactAt = at.steady;
    election.resetTimer(state, at);
    return true;
  },

  becomeFollower(
    state: ReplicaState,
    term: number,
    leader: string,
    at: ClockReading,
  ): void {
    if (term > state.term) {
      state.term = term;
      state.votedFor = "";
      state.incomingSnapshot = undefined;
      state.incomingEntry = undefined;
      emit.persistVote(state);
    }
    leaderRole.end(state);
    state.role = ReplicaRole.follower;
    state.leader = leader;
    state.votes = new Set();
    election.resetTimer(state, at);
    emit.role(state);
  },
};

function startPreVote(state: ReplicaState, at: ClockReading): void {
  state.role = ReplicaRole.candidate;
  state.isPreVoting = true;
  state.votes = new Set([state.settings.id]);
  state.nonLeadingTerms = new Map([[state.settings.id, state.term]]);
  requestVotes(state, {
    term: state.term + 1,
    transfer: false,
    quietTerm: NOT_LEADERLESS,
  });
  startElectionIfReady(state, at);
}

function onPreVoteReply(
  state: ReplicaState,
  reply: VoteReply,
  at: ClockReading,
): void {
  // A voter with a newer member list may know a leader that isn't in this
  // replica's list.
  const isMemberListCurrent = reply.membersIndex <= state.membersIndex;
  if (isMemberListCurrent && reply.upToDate && reply.quietTerm >= state.term) {
    state.nonLeadingTerms.set(reply.from, reply.quietTerm);
  }
  if (reply.granted && reply.term === state.term + 1) {
    state.votes.add(reply.from);
  }
  startElectionIfReady(state, at);
}

/** Starts an election once no voter leads or a quorum would grant its vote. */
function startElectionIfReady(state: ReplicaState, at: ClockReading): void {
  const leaderlessTerm = findLeaderlessTerm(state);
  if (leaderlessTerm !== NOT_LEADERLESS) {
    startElection(state, at, { transfer: false, quietTerm: leaderlessTerm });
    return;
  }
  const isGranted = quorum.hasMajority(
    state.members,
    (id) => state.votes.has(id),
  );
  if (isGranted && !hasRecentLeaderContact(state, at)) {
    startElection(state, at, { transfer: false, quietTerm: leaderlessTerm });
  }
}

/** The term up to which all voters reported that they don't lead. */
function findLeaderlessTerm(state: ReplicaState): number {
  let leaderlessTerm = Infinity;
  for (const { id } of quorum.voters(state.members)) {
    leaderlessTerm = Math.min(
      leaderlessTerm,
      state.nonLeadingTerms.get(id) ?? NOT_LEADERLESS,
    );
  }
  return leaderlessTerm >= state.term && leaderlessTerm < Infinity
    ? leaderlessTerm
    : NOT_LEADERLESS;
}

function startElection(
  state: ReplicaState,
  at: ClockReading,
  options: { transfer: boolean; quietTerm: number },
): void {
  state.role = ReplicaRole.candidate;
  state.isPreVoting = false;
  state.term += 1;
  state.votedFor = state.settings.id;
  state.leader = "";
  state.votes = new Set([state.settings.id]);
  emit.persistVote(state);
  if (options.quietTerm === NOT_LEADERLESS) {
    election.resetTimer(state, at);
  } else {
    const pause = state.settings.electionTimeout * LEADERLESS_TIMEOUT_FRACTION;
    state.electionDueAt = at.now + pause + state.random() * pause;
  }
  requestVotes(state, { ...options, term: state.term });
  if (quorum.hasMajority(state.members, (id) => state.votes.has(id))) {
    leaderRole.begin(state, at);
  }
}

function requestVotes(
  state: ReplicaState,
  options: { term: number; transfer: boolean; quietTerm: number },
): void {
  const request: VoteRequest = {
    kind: "vote_request",
    pre: state.isPreVoting,
    term: options.term,
    from: state.settings.id,
    lastIndex: state.log.lastIndex,
    lastTerm: state.log.lastTerm,
    transfer: options.transfer,
    quietTerm: options.quietTerm,
  };
  for (const member of quorum.voters(state.members)) {
    if (member.id !== state.settings.id) {
      emit.sendAfterSync(state, member.id, request);
    }
  }
}

/** Whether the term is stale or the lease of another leader may be valid. */
function isVoteRefused(
  state: ReplicaState,
  request: VoteRequest,
  at: ClockReading,
): boolean {
  if (request.term < state.term) {
    return true;
  }
  if (request.transfer) {
    return false;
  }
  if (state.role === ReplicaRole.leader) {
    return true;
  }
  // A leader that this replica had contact with has a term up to its own.
  const isLeaderless = request.quietTerm >= state.term;
  return hasRecentLeaderContact(state, at) && !isLeaderless;
}

function hasRecentLeaderContact(
  state: ReplicaState,
  at: ClockReading,
): boolean {
  return at.steady - state.lastLeaderContactAt < state.settings.electionTimeout;
}

function isUpToDate(state: ReplicaState, request: VoteRequest): boolean {
  if (request.lastTerm !== state.log.lastTerm) {
    return request.lastTerm > state.log.lastTerm;
  }
  return request.lastIndex >= state.log.lastIndex;
}

function canVoteFor(state: ReplicaState, request: VoteRequest): boolean {
  if (request.pre) {
    return request.term > state.term;
  }
  return state.votedFor === "" || state.votedFor === request.from;
}

function sendVoteReply(
  state: ReplicaState,
  request: VoteRequest,
  granted: boolean,
): void {
  const reply: VoteReply = {
    kind: "vote_reply",
    pre: request.pre,
    term: granted ? request.term : state.term,
    from: state.settings.id,
    granted,
    upToDate: isUpToDate(state, request),
    quietTerm: ownNonLeadingTerm(state),
    membersIndex: state.membersIndex,
  };
  emit.sendAfterSync(state, request.from, reply);
}

/** The term up to which this replica doesn't lead and won't start to. */
function ownNonLeadingTerm(state: ReplicaState): number {
  if (state.role === ReplicaRole.leader) {
    return NOT_LEADERLESS;
  }
  const isElecting = state.role === ReplicaRole.candidate && !state.isPreVoting;
  return isElecting ? state.term - 1 : state.term;
}

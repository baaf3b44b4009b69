import type {
  Append,
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

/** Shortest pause between two pre-votes, as a share of the timeout. */
const PRE_VOTE_PAUSE_FRACTION = 0.15;

/**
 * Shortest time for a vote on the evidence that nobody leads, as a share of the
 * timeout. Replicas that start in the same moment may all find that evidence
 * at once and each vote for itself. A vote takes two syncs and two ways, 10 ms
 * and 100 ms on slow disks; waiting for the whole timeout instead kept a group
 * without a leader for 0.75 s after one of four losses of power.
 */
const LEADERLESS_TIMEOUT_FRACTION = 0.25;

/** A candidate for whom some voter may lead. */
const NOT_LEADERLESS = -1;

/**
 * Elections with pre-vote (Raft, section 9.6 of Ongaro's dissertation). A
 * replica that heard a leader lately grants no vote, which is what a leader's
 * lease rests on.
 *
 * A replica that restarts can't know whether it heard a leader just before, so
 * it keeps that promise for one timeout. But once every voter has said that it
 * leads nothing, no lease is left to guard: a candidate that heard this of all
 * of them shows it with its request, and the promise is void. After a loss of
 * all processes a leader stands 0.1 s after the last replica has started, not
 * 0.5 to 0.9 s (group test in virtual time).
 *
 * @internal
 */
export const election = {
  /** Picks the next time to start an election. */
  resetTimer(state: ReplicaState, at: ClockReading): void {
    const timeout = state.settings.electionTimeout;
    state.electionDueAt = at.now + timeout + state.random() * timeout;
  },

  /**
   * Picks the next time to ask again after a pre-vote. It changes nothing at
   * the others, so it may come much sooner than an election: a group that
   * starts anew elects as soon as a quorum may vote.
   */
  schedulePreVoteRetry(state: ReplicaState, at: ClockReading): void {
    const pause = state.settings.electionTimeout * PRE_VOTE_PAUSE_FRACTION;
    state.electionDueAt = at.now + pause + state.random() * pause;
  },

  /** Starts a pre-vote when no leader was heard for long enough. */
  startPreVoteIfDue(state: ReplicaState, at: ClockReading): void {
    if (state.role === ReplicaRole.leader || at.now < state.electionDueAt) {
      return;
    }
    // A wall clock that jumps moves `now` only; the promise to the leader,
    // which its lease counts on, ends by the monotonic clock. Without a known
    // leader a pre-vote may show that no promise is left to keep.
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

  /** Picks the first pre-vote of a replica that starts. */
  scheduleFirstPreVote(state: ReplicaState, at: ClockReading): void {
    const pause = state.settings.electionTimeout * PRE_VOTE_PAUSE_FRACTION;
    state.electionDueAt = at.now + state.random() * pause;
  },

  /** Starts a real election at once, on the leader's request. */
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
    const counts = state.role === ReplicaRole.candidate &&
      !state.isPreVoting && !reply.pre && reply.term === state.term &&
      reply.granted;
    if (!counts) {
      return;
    }
    state.votes.add(reply.from);
    if (quorum.hasMajority(state.members, (id) => state.votes.has(id))) {
      leaderRole.begin(state, at);
    }
  },

  /** Follows the leader that sent this, or says that it is out of date. */
  acceptLeader(
    state: ReplicaState,
    message: Append | SnapshotChunk,
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
  // One that knows newer members may know a leader that isn't asked here.
  const knowsAll = reply.membersIndex <= state.membersIndex;
  if (knowsAll && reply.upToDate && reply.quietTerm >= state.term) {
    state.nonLeadingTerms.set(reply.from, reply.quietTerm);
  }
  if (reply.granted && reply.term === state.term + 1) {
    state.votes.add(reply.from);
  }
  startElectionIfReady(state, at);
}

/** Asks for votes once a quorum would grant them, or nobody may refuse. */
function startElectionIfReady(state: ReplicaState, at: ClockReading): void {
  const quietTerm = findLeaderlessTerm(state);
  if (quietTerm !== NOT_LEADERLESS) {
    startElection(state, at, { transfer: false, quietTerm });
    return;
  }
  const isGranted = quorum.hasMajority(
    state.members,
    (id) => state.votes.has(id),
  );
  if (isGranted && !hasRecentLeaderContact(state, at)) {
    startElection(state, at, { transfer: false, quietTerm });
  }
}

/** The term up to which all voters said that they lead nothing. */
function findLeaderlessTerm(state: ReplicaState): number {
  let quietTerm = Infinity;
  for (const { id } of quorum.voters(state.members)) {
    quietTerm = Math.min(
      quietTerm,
      state.nonLeadingTerms.get(id) ?? NOT_LEADERLESS,
    );
  }
  return quietTerm >= state.term && quietTerm < Infinity
    ? quietTerm
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

/** A replica that heard a leader lately keeps its promise to that leader. */
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
  // A promise is to a leader of this replica's term at the latest.
  const isVoid = request.quietTerm >= state.term;
  return hasRecentLeaderContact(state, at) && !isVoid;
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

/** The term up to which this replica doesn't and won't lead. */
function ownNonLeadingTerm(state: ReplicaState): number {
  if (state.role === ReplicaRole.leader) {
    return NOT_LEADERLESS;
  }
  const isElecting = state.role === ReplicaRole.candidate && !state.isPreVoting;
  return isElecting ? state.term - 1 : state.term;
}

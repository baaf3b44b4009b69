import type { ReplicaMember } from "@heroncleat/schema";

/** What a leader knows of members beside the list of them. */
type MembershipStatus = {
  /** Identity of the leader, which neither goes nor stops voting. */
  readonly self: string;
  /** Members that are to vote: 2n + 1 bear the loss of n at once. */
  readonly wantedVoters: number;
  /** Whether a member holds nearly all that is committed. */
  readonly hasCaughtUp: (id: string) => boolean;
  /** Whether a member has been silent for so long that it may be replaced. */
  readonly isLost: (id: string) => boolean;
};

/**
 * The next single step of keeping a group whole, or nothing when none is due;
 * the leader asks again after each.
 *
 * Just as many members vote as are wanted, and the others stand by as learners.
 * A voter that is gone leaves as soon as a learner that has caught up can take
 * its place, whichever came first: a successor that voted beside the one it
 * replaces would raise the quorum for good. An even number of voters bears no
 * more losses than one less, and in two halves neither has a quorum.
 *
 * A voter that nobody can replace stays, as it may come back.
 *
 * @public
 * @example
 * const next = planMembers(members, { self, wantedVoters: 3, hasCaughtUp, isLost });
 */
export function planMembershipChange(
  members: readonly ReplicaMember[],
  knowledge: MembershipStatus,
): ReplicaMember[] | undefined {
  const { self, wantedVoters } = knowledge;
  const isGone = (member: ReplicaMember) =>
    member.id !== self &&
    (hasSuccessor(members, member) || knowledge.isLost(member.id));
  const goneLearner = members.find((member) => !member.voter && isGone(member));
  if (goneLearner !== undefined) {
    return without(members, goneLearner);
  }
  const voters = members.filter(({ voter }) => voter);
  const gone = voters.find(isGone);
  const standby = findStandby(members, knowledge);
  if (gone !== undefined) {
    const isSpare = voters.length > wantedVoters;
    return standby !== undefined || isSpare
      ? without(members, gone)
      : undefined;
  }
  if (voters.length < wantedVoters && standby !== undefined) {
    return withVote(members, standby, true);
  }
  const surplus = voters.findLast(({ id }) => id !== self);
  if (voters.length > wantedVoters && surplus !== undefined) {
    return withVote(members, surplus, false);
  }
  return undefined;
}

/** Whether the VM of a member has lost its disk and came with a new one. */
function hasSuccessor(
  members: readonly ReplicaMember[],
  member: ReplicaMember,
): boolean {
  const place = members.indexOf(member);
  return members.slice(place + 1).some(({ name }) => name === member.name);
}

/** A learner that can vote, best in the zone with the fewest sound voters. */
function findStandby(
  members: readonly ReplicaMember[],
  knowledge: MembershipStatus,
): ReplicaMember | undefined {
  const sound = members.filter(({ id, voter }) =>
    voter && !knowledge.isLost(id)
  );
  const votersBeside = ({ zone }: ReplicaMember) =>
    sound.filter((voter) => voter.zone === zone).length;
  let best: ReplicaMember | undefined;
  for (const member of members) {
    if (member.voter || !knowledge.hasCaughtUp(member.id)) {
      continue;
    }
    if (best === undefined || votersBeside(member) < votersBeside(best)) {
      best = member;
    }
  }
  return best;
}

function without(
  members: readonly ReplicaMember[],
  gone: ReplicaMember,
): ReplicaMember[] {
  return members.filter((member) => member !== gone);
}

function withVote(
  members: readonly ReplicaMember[],
  chosen: ReplicaMember,
  voter: boolean,
): ReplicaMember[] {
  return members.map((member) =>
    member === chosen ? { ...member, voter } : member
  );
}

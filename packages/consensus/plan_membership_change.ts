import type { ReplicaMember } from "@heroncleat/schema";

/** What a leader knows about the members beyond their list. */
type MembershipStatus = {
  /** Disk identity of the leader, which is neither removed nor demoted. */
  readonly self: string;
  /** Target number of voters: 2n + 1 tolerate n simultaneous failures. */
  readonly wantedVoters: number;
  /** Whether a member has nearly all committed entries. */
  readonly hasCaughtUp: (id: string) => boolean;
  /** Whether a member has been unresponsive for long enough to be replaced. */
  readonly isLost: (id: string) => boolean;
};

/**
 * Plans the next single membership change that brings a group towards its
 * target number of voters; the leader calls it again after each change.
 *
 * Members beyond the target number of voters are standby learners. A lost voter
 * is removed once a learner that has caught up can replace it, and before that
 * learner is promoted: promoting first would raise the quorum size. An even
 * number of voters tolerates no more failures than one fewer, and has no quorum
 * on either side of an even partition. Learners are removed last: one that comes
 * and goes must not hold up the voters.
 *
 * A lost voter that can't be replaced stays, as it may return.
 *
 * @returns The new member list; undefined when no change is due.
 *
 * @public
 * @example
 * const next = planMembershipChange(members, {
 *   self,
 *   wantedVoters: 3,
 *   hasCaughtUp,
 *   isLost,
 * });
 */
export function planMembershipChange(
  members: readonly ReplicaMember[],
  status: MembershipStatus,
): ReplicaMember[] | undefined {
  const { self, wantedVoters } = status;
  const isRemovable = (member: ReplicaMember) =>
    member.id !== self &&
    (isReplaced(members, member) || status.isLost(member.id));
  const removableLearner = members.find((member) =>
    !member.voter && isRemovable(member)
  );
  const voters = members.filter(({ voter }) => voter);
  const removableVoter = voters.find(isRemovable);
  const standby = findStandby(members, status);
  const hasSpareVoter = voters.length > wantedVoters;
  if (
    removableVoter !== undefined && (standby !== undefined || hasSpareVoter)
  ) {
    return withoutMember(members, removableVoter);
  }
  if (
    removableVoter === undefined && voters.length < wantedVoters &&
    standby !== undefined
  ) {
    return withVoter(members, standby, true);
  }
  if (removableLearner !== undefined) {
    return withoutMember(members, removableLearner);
  }
  if (removableVoter !== undefined) {
    return undefined;
  }
  const surplusVoter = voters.findLast(({ id }) => id !== self);
  if (voters.length > wantedVoters && surplusVoter !== undefined) {
    return withVoter(members, surplusVoter, false);
  }
  return undefined;
}

/** Whether the VM of a member has joined again with a new disk. */
function isReplaced(
  members: readonly ReplicaMember[],
  member: ReplicaMember,
): boolean {
  const position = members.indexOf(member);
  return members.slice(position + 1).some(({ name }) => name === member.name);
}

/** The promotable learner whose zone has the fewest responsive voters. */
function findStandby(
  members: readonly ReplicaMember[],
  status: MembershipStatus,
): ReplicaMember | undefined {
  const responsiveVoters = members.filter(({ id, voter }) =>
    voter && !status.isLost(id)
  );
  const countZoneVoters = ({ zone }: ReplicaMember) =>
    responsiveVoters.filter((voter) => voter.zone === zone).length;
  let best: ReplicaMember | undefined;
  for (const member of members) {
    if (
      member.voter || isReplaced(members, member) ||
      status.isLost(member.id) || !status.hasCaughtUp(member.id)
    ) {
      continue;
    }
    if (best === undefined || countZoneVoters(member) < countZoneVoters(best)) {
      best = member;
    }
  }
  return best;
}

function withoutMember(
  members: readonly ReplicaMember[],
  removed: ReplicaMember,
): ReplicaMember[] {
  return members.filter((member) => member !== removed);
}

function withVoter(
  members: readonly ReplicaMember[],
  chosen: ReplicaMember,
  voter: boolean,
): ReplicaMember[] {
  return members.map((member) =>
    member === chosen ? { ...member, voter } : member
  );
}

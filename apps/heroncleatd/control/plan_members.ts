import type { ReplicaMember } from "@heroncleat/schema";

/** What is known of members beside the list of them. */
type MemberKnowledge = {
  readonly hasCaughtUp: (id: string) => boolean;
  /** Whether a voter has been silent for so long that it may be replaced. */
  readonly isLost?: (id: string) => boolean;
};

/**
 * The next single step of a repair, or nothing when none is due. A learner
 * that has caught up first displaces the voter it replaces, the one of the
 * same name whose disk was lost or one that is lost itself, and then becomes
 * a voter.
 */
export function planMembers(
  members: readonly ReplicaMember[],
  knowledge: MemberKnowledge,
): ReplicaMember[] | undefined {
  for (const learner of members) {
    if (learner.voter || !knowledge.hasCaughtUp(learner.id)) {
      continue;
    }
    const replaced = findReplaced(members, { learner, knowledge });
    if (replaced !== undefined) {
      return members.filter((member) => member.id !== replaced.id);
    }
    return members.map((member) =>
      member.id === learner.id ? { ...member, voter: true } : member
    );
  }
  return undefined;
}

function findReplaced(
  members: readonly ReplicaMember[],
  options: { learner: ReplicaMember; knowledge: MemberKnowledge },
): ReplicaMember | undefined {
  const { learner, knowledge } = options;
  const others = members.filter((member) => member.id !== learner.id);
  const sameName = others.find((member) => member.name === learner.name);
  if (sameName !== undefined) {
    return sameName;
  }
  return others.find((member) =>
    member.voter && knowledge.isLost?.(member.id) === true
  );
}

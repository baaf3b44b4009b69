import type { ReplicaMember } from "@heroncleat/schema";

/**
 * The next single step of a repair, or nothing when none is due. A learner
 * that has caught up first displaces the voter it replaces, the one of the
 * same name whose disk was lost, and then becomes a voter itself.
 */
export function planMembers(
  members: readonly ReplicaMember[],
  hasCaughtUp: (id: string) => boolean,
): ReplicaMember[] | undefined {
  for (const learner of members) {
    if (learner.voter || !hasCaughtUp(learner.id)) {
      continue;
    }
    const replaced = members.find((member) =>
      member.name === learner.name && member.id !== learner.id
    );
    if (replaced !== undefined) {
      return members.filter((member) => member.id !== replaced.id);
    }
    return members.map((member) =>
      member.id === learner.id ? { ...member, voter: true } : member
    );
  }
  return undefined;
}

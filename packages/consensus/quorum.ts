import type { ReplicaMember } from "@heroncleat/schema";

/**
 * Majorities of the voters.
 *
 * @internal
 */
export const quorum = {
  voters(members: readonly ReplicaMember[]): ReplicaMember[] {
    return members.filter((member) => member.voter);
  },

  isVoter(members: readonly ReplicaMember[], id: string): boolean {
    return members.some((member) => member.voter && member.id === id);
  },

  /** Whether the predicate holds for a majority of voters. */
  hasMajority(
    members: readonly ReplicaMember[],
    predicate: (id: string) => boolean,
  ): boolean {
    const voters = quorum.voters(members);
    const matching = voters.filter((member) => predicate(member.id)).length;
    return matching > voters.length / 2;
  },

  /** The largest value that a majority of voters has reached. */
  majorityValue(
    members: readonly ReplicaMember[],
    valueOf: (id: string) => number,
  ): number {
    const values = quorum.voters(members)
      .map((member) => valueOf(member.id))
      .sort((left, right) => right - left);
    return values[Math.floor(values.length / 2)] ?? 0;
  },
};

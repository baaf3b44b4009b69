import type { ReplicaMember } from "@heroncleat/schema";

/**
 * Chooses the initial members of a group: up to the target count, spread evenly
 * over the availability zones so that losing one zone removes as few members as
 * possible.
 */
export function chooseInitialMembers(
  candidates: readonly ReplicaMember[],
  targetCount: number,
): ReplicaMember[] {
  const remaining = [...candidates].sort(compareNames);
  const chosen: ReplicaMember[] = [];
  while (chosen.length < targetCount && remaining.length > 0) {
    const countInSameZone = ({ zone }: ReplicaMember) =>
      chosen.filter((member) => member.zone === zone).length;
    const lowestCount = Math.min(...remaining.map(countInSameZone));
    const index = remaining.findIndex((candidate) =>
      countInSameZone(candidate) === lowestCount
    );
    chosen.push(...remaining.splice(index, 1));
  }
  return chosen.sort(compareNames);
}

function compareNames(left: ReplicaMember, right: ReplicaMember): number {
  return left.name < right.name ? -1 : 1;
}

import type { ReplicaMember } from "@heroncleat/schema";

/**
 * Chooses who founds a group: as many as are wanted, spread over as many
 * availability zones as there are, so that the loss of a zone takes the fewest.
 */
export function chooseFounders(
  candidates: readonly ReplicaMember[],
  wanted: number,
): ReplicaMember[] {
  const left = [...candidates].sort(byName);
  const chosen: ReplicaMember[] = [];
  while (chosen.length < wanted && left.length > 0) {
    const countBeside = ({ zone }: ReplicaMember) =>
      chosen.filter((founder) => founder.zone === zone).length;
    const least = Math.min(...left.map(countBeside));
    const at = left.findIndex((candidate) => countBeside(candidate) === least);
    chosen.push(...left.splice(at, 1));
  }
  return chosen.sort(byName);
}

function byName(left: ReplicaMember, right: ReplicaMember): number {
  return left.name < right.name ? -1 : 1;
}

import type { Group } from "@heroncleat/schema";

/**
 * Picks the group for a request by share. The draw is taken from the request,
 * so that a retry comes to the same group.
 *
 * @public
 */
export function chooseGroup(
  groups: readonly Group[],
  draw: number,
): Group | undefined {
  const open = groups.filter((group) =>
    group.state !== "draining" && group.share > 0
  );
  let total = 0;
  for (const group of open) {
    total += group.share;
  }
  let left = draw * total;
  for (const group of open) {
    left -= group.share;
    if (left < 0) {
      return group;
    }
  }
  return open.at(-1);
}

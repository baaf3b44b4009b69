import type { Group } from "@heroncleat/schema";

/**
 * Picks a group with a probability proportional to its share. `hashFraction`
 * is a hash of the request id, from 0 up to 1, so that retries of a request
 * pick the same group. Draining groups and groups without a share are skipped.
 *
 * @public
 */
export function chooseGroup(
  groups: readonly Group[],
  hashFraction: number,
): Group | undefined {
  const eligible = groups.filter((group) =>
    group.state !== "draining" && group.share > 0
  );
  let total = 0;
  for (const group of eligible) {
    total += group.share;
  }
  let remaining = hashFraction * total;
  for (const group of eligible) {
    remaining -= group.share;
    if (remaining < 0) {
      return group;
    }
  }
  return eligible.at(-1);
}

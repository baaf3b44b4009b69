/**
 * The level of a max-min fair division: demands up to it are met entirely, and
 * larger ones get just the level.
 *
 * @returns Infinity if the capacity meets all demands.
 * @internal
 */
export function maxMinLevel(
  demands: readonly number[],
  capacity: number,
): number {
  const ascending = [...demands].sort((left, right) => left - right);
  let remaining = capacity;
  let unmet = ascending.length;
  for (const demand of ascending) {
    if (demand * unmet > remaining) {
      return remaining / unmet;
    }
    remaining -= demand;
    unmet -= 1;
  }
  return Infinity;
}

/** Hashes a text to a number from 0 up to 1. */
type UnitHash = (text: string) => number;

/**
 * The upstreams that one entry routes to: those of highest hash with the
 * entry's name (rendezvous hashing), so that a change of the list moves few.
 *
 * @public
 */
export function subsetUpstreams(
  names: readonly string[],
  options: { entry: string; size: number; hash: UnitHash },
): string[] {
  if (names.length <= options.size) {
    return [...names];
  }
  const weighed = names.map((name) => ({
    name,
    weight: options.hash(`${options.entry} ${name}`),
  }));
  weighed.sort((left, right) => right.weight - left.weight);
  return weighed.slice(0, options.size).map(({ name }) => name);
}

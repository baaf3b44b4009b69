/** Hashes a text to a number from 0 up to 1. */
type UnitHash = (text: string) => number;

/**
 * Returns the upstreams that one entry routes to. Rendezvous hashing keeps the
 * subset of each entry nearly the same when upstreams are added or removed.
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
  const weighted = names.map((name) => ({
    name,
    weight: options.hash(`${options.entry} ${name}`),
  }));
  weighted.sort((left, right) => right.weight - left.weight);
  return weighted.slice(0, options.size).map(({ name }) => name);
}

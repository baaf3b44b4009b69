/** A class of requests and how many permits it could use. */
type Claim = {
  readonly priority: number;
  readonly demand: number;
};

/**
 * Divides permits among classes of requests: the more urgent priority first,
 * and within one priority evenly, up to what each class demands.
 *
 * @returns The permits of each class, in the order of the claims.
 * @internal
 */
export function dividePermits(
  claims: readonly Claim[],
  supply: number,
): number[] {
  const permits = claims.map(() => 0);
  const order = [...claims.keys()].sort((left, right) =>
    claims[left]!.priority - claims[right]!.priority ||
    claims[left]!.demand - claims[right]!.demand
  );
  let remaining = supply;
  for (const [rank, index] of order.entries()) {
    const { priority, demand } = claims[index]!;
    // The smallest claims of a priority come first and leave the rest more.
    const sharing = order.slice(rank).filter((other) =>
      claims[other]!.priority === priority
    ).length;
    permits[index] = Math.min(demand, remaining / sharing);
    remaining -= permits[index]!;
  }
  return permits;
}

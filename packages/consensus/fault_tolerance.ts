/**
 * How many replicas it takes to bear the loss of some at once. Everything that
 * counts replicas or copies takes its number from here.
 *
 * @public
 * @example
 * lossTolerance.voters(2); // 5
 */
export const faultTolerance = {
  /** Voters of which the rest is a quorum after the losses. */
  voters: (losses: number): number => 2 * losses + 1,

  /** Copies on disk of which one is left after the losses. */
  copies: (losses: number): number => losses + 1,

  /** Losses that a number of voters bears. */
  toleratedFailures: (voters: number): number =>
    Math.max(0, Math.floor((voters - 1) / 2)),
};

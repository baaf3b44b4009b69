/**
 * Numbers of replicas and copies that a number of simultaneous failures
 * requires. All code that counts replicas or copies uses these functions.
 *
 * @public
 * @example
 * faultTolerance.voters(2); // 5
 */
export const faultTolerance = {
  /** Voters required so that the remaining ones still form a quorum. */
  voters: (failures: number): number => 2 * failures + 1,

  /** Copies on disk required so that one remains. */
  copies: (failures: number): number => failures + 1,

  /** Failures after which the remaining voters still form a quorum. */
  toleratedFailures: (voters: number): number =>
    Math.max(0, Math.floor((voters - 1) / 2)),
};

/** How many requests a version may get before it is known to be good. @public */
export type RolloutLimits = {
  /** Share of all requests to the service during the rollout, from 0 to 1. */
  readonly exposureShare: number;
  /** Requests beyond that share. */
  readonly exposureTolerance: number;
};

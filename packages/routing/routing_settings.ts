import type { Milliseconds } from "@heroncleat/base";

/**
 * Settings of the router.
 *
 * @public
 */
export type RoutingSettings = {
  readonly firstTokenTarget: Milliseconds;
  readonly betweenTokensTarget: Milliseconds;
  /** Cost that is minimized among the upstreams that meet the targets. */
  readonly weighting: "cost" | "recompute";
  /** Factor on the first token target that leaves room for estimate errors. */
  readonly targetSafetyFactor: number;
  /** Consecutive failures that open the circuit breaker of an upstream. */
  readonly failureThreshold: number;
  /** Duration of the first opening; it doubles with each further one. */
  readonly openTime: Milliseconds;
  readonly maxOpenTime: Milliseconds;
  /** Prefix blocks remembered for each upstream. */
  readonly maxCacheBlocks: number;
  /** Time for which a group in drain may be sent generations that have begun. */
  readonly drainTimeout: Milliseconds;
  /** Upstreams of a model or service that this entry routes to at most. */
  readonly subsetSize: number;
};

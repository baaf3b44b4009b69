import type { Milliseconds } from "@heroncleat/base";

/** Settings of the router. @public */
export type RoutingSettings = {
  readonly firstTokenTarget: Milliseconds;
  readonly betweenTokensTarget: Milliseconds;
  /** What counts first among upstreams that meet the target. */
  readonly weighting: "cost" | "recompute";
  /** Share of the target that an estimate may use, for its error. */
  readonly targetShare: number;
  /** Failures in a row after which an upstream is left alone. */
  readonly failuresToOpen: number;
  readonly openTime: Milliseconds;
  readonly mostOpenTime: Milliseconds;
  /** Prefix blocks remembered for each upstream. */
  readonly cacheBlocks: number;
  /** Upstreams this entry routes to; more are left to other entries. */
  readonly subsetSize: number;
};

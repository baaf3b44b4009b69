import type { RoutingSettings } from "./routing_settings.ts";

/**
 * Default settings of the router.
 *
 * @public
 */
export const ROUTING_DEFAULTS: RoutingSettings = {
  firstTokenTarget: 740,
  betweenTokensTarget: 78,
  weighting: "cost",
  targetSafetyFactor: 0.7,
  failureThreshold: 3,
  openTime: 1000,
  maxOpenTime: 30_000,
  maxCacheBlocks: 4096,
  drainTimeout: 2000,
  subsetSize: 64,
};

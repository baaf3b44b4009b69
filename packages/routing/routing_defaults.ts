import type { RoutingSettings } from "./routing_settings.ts";

/** The router's settings where the daemon names none. @public */
export const ROUTING_DEFAULTS: RoutingSettings = {
  firstTokenTarget: 740,
  betweenTokensTarget: 78,
  weighting: "cost",
  targetShare: 0.7,
  failuresToOpen: 3,
  openTime: 1000,
  mostOpenTime: 30_000,
  cacheBlocks: 4096,
  subsetSize: 64,
};

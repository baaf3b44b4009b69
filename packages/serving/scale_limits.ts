import type { Milliseconds } from "@heroncleat/base";

/** Bounds and prices for the number of upstreams of a service. @public */
export type ScaleLimits = {
  /** Fewest and most upstreams in each availability zone. */
  readonly min: number;
  readonly max: number;
  readonly bootTime: Milliseconds;
  /** Price of a reclaimable VM as a share of an on-demand one's. */
  readonly spotPrice: number;
  /** Price factor of each availability zone that may hold upstreams. */
  readonly zonePrices: Readonly<Record<string, number>>;
};

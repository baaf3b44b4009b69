import type { Milliseconds } from "@heroncleat/base";

/** Bounds and prices for the number of upstreams of a service. @public */
export type ScaleLimits = {
  /** Minimum and maximum number of upstreams in each availability zone. */
  readonly min: number;
  readonly max: number;
  readonly bootTime: Milliseconds;
  /** Price of a spot VM as a share of an on-demand VM's. */
  readonly spotPrice: number;
  /** Price factors of the availability zones that may hold upstreams. */
  readonly zonePrices: Readonly<Record<string, number>>;
};

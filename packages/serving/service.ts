import type { Milliseconds } from "@heroncleat/base";

/** What is known of the model engines of a service. @public */
export type EngineProfile = {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that fit into the memory of one engine. */
  readonly kvCapacityTokens: number;
  readonly kvTokenBytes: number;
  readonly linkMbps: number;
  /** Whether a running request can be moved to another engine. */
  readonly canMove: boolean;
};

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

/** A group of upstreams that serve the same requests. @public */
export type Service = {
  readonly name: string;
  /** Connections that one upstream takes from all callers together. */
  readonly maxConnections: number;
  /** Present for model engines. */
  readonly engine: EngineProfile | undefined;
  /** Present where the number of upstreams may be ordered. */
  readonly scale: ScaleLimits | undefined;
};

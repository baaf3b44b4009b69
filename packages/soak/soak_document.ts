import type { Milliseconds } from "@heroncleat/base";

/** A configuration of the soak: two routes to one service. @public */
export type SoakDocument = {
  readonly version: number;
  readonly service: string;
  readonly host: string;
  /** Prefix of requests that may be repeated, and of those that may not. */
  readonly idempotentPrefix: string;
  readonly nonIdempotentPrefix: string;
  readonly timeout: Milliseconds;
};

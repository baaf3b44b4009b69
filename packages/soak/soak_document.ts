import type { Milliseconds } from "@heroncleat/base";

/** Configuration document of a soak: two routes to one service. @public */
export type SoakDocument = {
  readonly version: number;
  readonly service: string;
  readonly host: string;
  /** Path prefixes of the idempotent and the non-idempotent route. */
  readonly idempotentPrefix: string;
  readonly nonIdempotentPrefix: string;
  readonly timeout: Milliseconds;
};

import type { Milliseconds } from "@heroncleat/base";

/** Configuration document of a soak: routes of all kinds to one service. @public */
export type SoakDocument = {
  readonly version: number;
  readonly service: string;
  readonly host: string;
  /** Path prefixes of the idempotent and the non-idempotent route. */
  readonly idempotentPrefix: string;
  readonly nonIdempotentPrefix: string;
  /** Path prefixes of streams that may be resumed, and of those that may not. */
  readonly resumablePrefix: string;
  readonly streamPrefix: string;
  readonly timeout: Milliseconds;
  /** Time for which a caller's connection may stay idle. */
  readonly idleTimeout: Milliseconds;
  /** Number of routes beside those, which no caller uses. */
  readonly furtherRoutes: number;
  /** Requests per second of each workspace; no caller has one. */
  readonly workspaceRates: readonly number[];
};

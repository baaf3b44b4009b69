import type { Milliseconds } from "@heroncleat/base";

/**
 * The upstream chosen for a request, with the estimates for that request.
 *
 * @public
 */
export type RouteChoice = {
  readonly upstream: string;
  readonly address: string;
  readonly estimatedFirstToken: Milliseconds;
  readonly cachedTokens: number;
  /** Nothing may be sent later, as the upstream's group drains. */
  readonly sendBefore: Milliseconds;
};

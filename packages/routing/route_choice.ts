import type { Milliseconds } from "@heroncleat/base";

/** Where a request goes and what is expected there. @public */
export type RouteChoice = {
  readonly upstream: string;
  readonly address: string;
  readonly estimatedFirstToken: Milliseconds;
  readonly cachedTokens: number;
};

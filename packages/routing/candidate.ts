import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamTracker } from "./upstream_tracker.ts";

/**
 * An upstream that can serve a request, with the estimates for that request.
 *
 * @public
 */
export type Candidate = {
  readonly upstream: UpstreamTracker;
  readonly estimatedFirstToken: Milliseconds;
  readonly cachedTokens: number;
  readonly uncachedTokens: number;
};

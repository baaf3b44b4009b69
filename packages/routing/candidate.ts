import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamModel } from "./upstream_model.ts";

/** An upstream that may take a request, with what is expected there. @public */
export type Candidate = {
  readonly upstream: UpstreamModel;
  readonly firstToken: Milliseconds;
  readonly cachedTokens: number;
  readonly uncachedTokens: number;
};

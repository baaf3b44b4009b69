import type { Milliseconds } from "@heroncleat/base";

/** Load that entries put on one upstream. @public */
export type UpstreamLoad = {
  /** Requests in flight. */
  readonly requests: number;
  /** Time until the upstream has prefilled the prompts sent to it. */
  readonly backlog: Milliseconds;
};

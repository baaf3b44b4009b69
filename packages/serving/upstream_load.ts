import type { Milliseconds } from "@heroncleat/base";

/** What entries have under way at one upstream. @public */
export type UpstreamLoad = {
  /** Requests that were sent and have no final answer. */
  readonly requests: number;
  /** Time until it has read the prompts that they sent it. */
  readonly backlog: Milliseconds;
};

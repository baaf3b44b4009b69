/** What entries have under way at one upstream. @public */
export type UpstreamLoad = {
  /** Requests that were sent and have no final answer. */
  readonly requests: number;
  /** Prompt tokens of those whose answer hasn't begun. */
  readonly waitingTokens: number;
};

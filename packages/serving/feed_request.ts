/** Position of a control replica in the feed of another one. @public */
export type FeedRequest = {
  /** ID of the feed, which changes with each process; empty for none. */
  readonly feed: string;
  readonly revision: number;
  /**
   * host:port of the replicas whose feeds the reader reads itself, so that it
   * needs no heartbeats that came from them; absent from older releases.
   */
  readonly reads?: readonly string[];
};

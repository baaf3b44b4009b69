/** Position of a control replica in the feed of another one. @public */
export type FeedRequest = {
  /** ID of the feed, which changes with each process; empty for none. */
  readonly feed: string;
  readonly revision: number;
};

/** How far a control replica has read another one's feed. @public */
export type FeedRequest = {
  /** The feed, which is new with each start; empty for none. */
  readonly feed: string;
  readonly revision: number;
};

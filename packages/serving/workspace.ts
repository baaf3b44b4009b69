/** One customer, its keys and its quota. @public */
export type Workspace = {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the route's; 0 is the most urgent. */
  readonly priority: number | undefined;
  /** Tokens a second over all entries; 0 means no limit. */
  readonly rate: number;
  /** Tokens that may be spent at once. */
  readonly burst: number;
  /** What a request without a token count is charged. */
  readonly defaultCharge: number;
  /** Whether the quota counts tokens; it counts requests otherwise. */
  readonly countsTokens: boolean;
};

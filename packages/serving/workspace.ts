/** A customer with its keys and its quota. @public */
export type Workspace = {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority; 0 is the highest. */
  readonly priority: number | undefined;
  /** Tokens per second over all entries; 0 means unlimited. */
  readonly rate: number;
  /** Capacity of the token bucket. */
  readonly burst: number;
  /** Charge of a request without a token count. */
  readonly defaultCharge: number;
  /** Whether the quota counts model tokens instead of requests. */
  readonly countsTokens: boolean;
};

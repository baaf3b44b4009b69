/** How much of a retry budget an entry uses in the window now. @public */
export type RetryUsage = {
  /** Weighted mean of the requests that count towards the bound. */
  readonly requests: number;
  /** Retries that count against it. */
  readonly spent: number;
  /** Retries that this entry may send whatever the number of requests. */
  readonly fromMinimum: number;
  /** Retries that this entry may send in the window. */
  readonly bound: number;
};

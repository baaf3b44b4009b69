/** How much may be spent of one bucket. @internal */
export type QuotaLimit = {
  readonly name: string;
  /** Tokens in any window. */
  readonly tokens: number;
  /** Most tokens at once, and those that come back in a second. */
  readonly burst: number;
  readonly rate: number;
  /** Tokens that a window may hold beyond that without harm. */
  readonly tolerated: number;
};

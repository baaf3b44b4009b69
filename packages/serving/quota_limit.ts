/** Limit of one quota bucket. @internal */
export type QuotaLimit = {
  readonly name: string;
  /** Maximum tokens in any window. */
  readonly tokens: number;
  /** Bucket capacity in tokens, and tokens refilled per second. */
  readonly burst: number;
  readonly rate: number;
  /** Tokens by which a window may exceed `tokens`. */
  readonly toleratedExcess: number;
};

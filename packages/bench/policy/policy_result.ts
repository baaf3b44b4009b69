/** Figures of one run; latencies are in ms. */
export type PolicyResult = {
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly firstTokenP99: number;
  readonly tokenIntervalP95: number;
  /**
   * Share of all requests completed within both latency targets, from 0 to 1.
   */
  readonly withinTarget: number;
  readonly refused: number;
  readonly lost: number;
  readonly recomputedTokens: number;
  /** Mean number of prompt tokens prefilled per completed request. */
  readonly prefillTokensPerRequest: number;
  /** VM cost per 1000 responses within both latency targets. */
  readonly costPerThousandGood: number;
  readonly answered: number;
  /** Responses within both latency targets, by workspace. */
  readonly goodByWorkspace: readonly number[];
};

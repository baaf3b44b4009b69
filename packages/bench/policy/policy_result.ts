/** What a run came to, one column each. */
export type PolicyResult = {
  readonly firstP50: number;
  readonly firstP95: number;
  readonly firstP99: number;
  readonly betweenP95: number;
  /** Share of all requests answered within both targets. */
  readonly withinTarget: number;
  readonly refused: number;
  readonly lost: number;
  readonly recomputed: number;
  /** Prompt tokens computed for each request. */
  readonly computedEach: number;
  readonly costPerThousand: number;
  readonly answered: number;
  /** Good answers by workspace. */
  readonly goodBy: readonly number[];
};

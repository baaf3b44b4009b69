/** What a stand-in engine has done, for tests and measurements. @public */
export type EngineCounts = {
  /** Prompt tokens computed, cached ones excluded. */
  computed: number;
  /** Tokens generated. */
  generated: number;
  /** Tokens of earlier output computed again for a resumed answer. */
  recomputed: number;
  /** Tokens whose KV cache came from another engine. */
  transferred: number;
  requests: number;
};

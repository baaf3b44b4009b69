/** Work counters of a stand-in engine. @public */
export type EngineCounts = {
  /** Prompt tokens computed, cached ones excluded. */
  computed: number;
  /** Tokens generated. */
  generated: number;
  /** Output tokens of an earlier attempt recomputed to resume a response. */
  recomputed: number;
  /** Tokens whose KV cache was transferred from another engine. */
  transferred: number;
  requests: number;
};

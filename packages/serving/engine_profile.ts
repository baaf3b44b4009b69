/** Capacities of the model engines of a service. @public */
export type EngineProfile = {
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Tokens that fit into the KV cache of one engine. */
  readonly kvCapacityTokens: number;
  readonly kvTokenBytes: number;
  readonly linkMbps: number;
  /** Whether a running request can be migrated to another engine. */
  readonly canMove: boolean;
};

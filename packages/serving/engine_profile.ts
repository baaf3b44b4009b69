/** What is known of the model engines of a service. @public */
export type EngineProfile = {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that fit into the memory of one engine. */
  readonly kvCapacityTokens: number;
  readonly kvTokenBytes: number;
  readonly linkMbps: number;
  /** Whether a running request can be moved to another engine. */
  readonly canMove: boolean;
};

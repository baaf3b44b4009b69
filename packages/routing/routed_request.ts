/** What the router needs to know of a request. @public */
export type RoutedRequest = {
  readonly id: string;
  readonly workspace: string;
  /** Model name, empty for a plain service. */
  readonly model: string;
  /** Plain service name, empty for a model. */
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Hashes of the prompt's prefix blocks, each covering all before it. */
  readonly prefix: readonly string[];
  readonly promptTokens: number;
  /** Upstreams that this request must not go to. */
  readonly exclude: readonly string[];
};

/**
 * The attributes of a request that routing depends on.
 *
 * @public
 */
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
  /** Whether a part of its response was received already. */
  readonly isContinued: boolean;
  /** Upstreams that must not be chosen. */
  readonly exclude: readonly string[];
};

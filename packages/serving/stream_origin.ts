/**
 * Where the first event of a stream came from: a stream may go on only at
 * upstreams of this service that run the same software version.
 *
 * @public
 */
export type StreamOrigin = {
  readonly service: string;
  /** Empty for upstreams that report none. */
  readonly version: string;
};

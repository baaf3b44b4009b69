/** Number of values in each bucket; see valueBuckets. @public */
export type BucketCounts = Readonly<Record<string, number>>;

/** How the requests of one route to one version went. @public */
export type RouteSamples = {
  /** Requests that were sent. */
  readonly sent: number;
  /** Complete responses, failures among them. */
  readonly answered: number;
  /** Responses that report a failure of the upstream. */
  readonly failed: number;
  /** Times to the first byte as multiples of those that were expected. */
  readonly firstByte: BucketCounts;
  /** Times to the end of the response, or until the caller left. */
  readonly total: BucketCounts;
};

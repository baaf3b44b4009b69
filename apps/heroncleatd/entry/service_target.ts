/** Destination of a call to a plain service. */
export type ServiceTarget = {
  readonly service: string;
  /** Path and query that are sent to the service. */
  readonly path: string;
};

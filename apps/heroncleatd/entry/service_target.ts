/** Which plain service a call goes to. */
export type ServiceTarget = {
  readonly service: string;
  /** Path and query as the service sees them. */
  readonly path: string;
};

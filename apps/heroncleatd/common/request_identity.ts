/** What tells a request from others, also when its caller sends it again. */
export type RequestIdentity = {
  /** Names this sending of it in log lines. */
  readonly attempt: string;
  /** Name of the caller's workspace; empty where there is none. */
  readonly workspace: string;
  /** The service, or model, whose upstreams run it. */
  readonly service: string;
  /** Length of its body in bytes. */
  readonly size: number;
  /** See requestDigest; worked out when it is first asked for. */
  readonly digest: () => string;
};

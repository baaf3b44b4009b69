/** What identifies a request, and what limits what is compared with it. @public */
export type SuspectKey = {
  /** Digest of what its caller sends again. */
  readonly request: string;
  readonly workspace: string;
  readonly service: string;
  /** Length of its body in bytes; others needn't be compared with it. */
  readonly size: number;
};

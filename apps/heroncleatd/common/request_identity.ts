/** Identifies a request across repetitions by its caller. */
export type RequestIdentity = {
  /** Identifier of this attempt, for log lines. */
  readonly attempt: string;
  /** Name of the caller's workspace; empty if there is none. */
  readonly workspace: string;
  /** Service or model whose upstreams run the request. */
  readonly service: string;
  /** Size of the body in bytes. */
  readonly size: number;
  /** Returns the result of `requestDigest`, computed on the first call. */
  readonly digest: () => string;
  /**
   * Returns the keys of the parts that its prompt may share with others, which
   * are all but the last; see `suspectedPartKey`.
   */
  readonly parts: () => readonly string[];
};

/**
 * Identifies a request, and limits which requests are compared with it.
 *
 * @public
 */
export type SuspectKey = {
  /**
   * Digest of the part of the request that stays the same when a caller repeats
   * it.
   */
  readonly request: string;
  readonly workspace: string;
  readonly service: string;
  /**
   * Length of the body in bytes; only requests of the same size are compared.
   */
  readonly size: number;
};

/**
 * Identifies a request, or a part of prompts, and limits which requests are
 * compared with it.
 *
 * @public
 */
export type SuspectKey = {
  /**
   * Digest of the part of the request that stays the same when a caller repeats
   * it; for a part of prompts, its key.
   */
  readonly request: string;
  /** Of a part, the first workspace that an upstream crashed under. */
  readonly workspace: string;
  readonly service: string;
  /**
   * Length of the body in bytes; only requests of the same size are compared.
   * 0 for a part.
   */
  readonly size: number;
  /** Set for a part of prompts, which other workspaces may use too. */
  readonly isPart?: true | undefined;
};

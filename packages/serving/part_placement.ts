/** A shared part of a prompt that was sent to an upstream. @public */
export type PartPlacement = {
  /** Identifier of the part. */
  readonly part: string;
  /** Identifier of the upstream. */
  readonly upstream: string;
};

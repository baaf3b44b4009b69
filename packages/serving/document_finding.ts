/** A problem of a configuration document. @public */
export type DocumentFinding = {
  /** Documents with an error are rejected; warnings are advice. */
  readonly severity: "error" | "warning";
  /** Path of the field in the decoded document, such as `routes[0].timeout`. */
  readonly path: string;
  /** The problem with its remedy. */
  readonly message: string;
};

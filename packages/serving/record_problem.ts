/** Why updates of an upstream aren't taken in. @public */
export type RecordProblem = {
  /** For counting. */
  readonly kind: "unknown_service" | "changed_identity";
  /** For whoever sent them, with the remedy. */
  readonly message: string;
};

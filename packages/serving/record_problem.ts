/** Why an update of an upstream is rejected. @public */
export type RecordProblem = {
  /** Label for metrics. */
  readonly kind: "unknown_service" | "changed_identity";
  /** Message for the sender, with the remedy. */
  readonly message: string;
};

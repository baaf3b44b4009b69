/** The result of an operator's order to roll out a version. */
export type RolloutOutcome =
  | "accepted"
  /** A rollout of the service to another version is in progress. */
  | "conflicting"
  | "unknown_service"
  /** No quorum confirmed it; it may have been stored. */
  | "unavailable";

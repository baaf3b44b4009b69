/** Stages of a rollout, in order; one of the last two ends it. @public */
export const RolloutStage = {
  /** A small share of the requests goes to few upstreams of the new version. */
  canary: "canary",
  /** A larger share goes to all upstreams of the new version. */
  widened: "widened",
  /** All new requests go to the new version; the old one finishes its own. */
  full: "full",
  completed: "completed",
  reverted: "reverted",
} as const;

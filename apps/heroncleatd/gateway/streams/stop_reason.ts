/** Why a forwarded stream was refused, or isn't continued after a break. */
export const StopReason = {
  /** No upstream may run it; the attempt has their states. */
  noUpstream: "no_upstream",
  overloaded: "overloaded",
  rateLimits: "rate_limits",
  resting: "resting",
  /** Upstreams crashed under it. */
  suspected: "suspected",
  /** This entry shuts down. */
  leaving: "leaving",
  retryBudget: "retry_budget",
  /** The upstreams that it was offered to didn't run it. */
  notAccepted: "not_accepted",
  /** Its runs broke off or failed, and it may not run again. */
  runsFailed: "runs_failed",
  /** Nobody who answered knows which version began it. */
  unknownOrigin: "unknown_origin",
  movedRoute: "moved_route",
  overQuota: "over_quota",
  /** It was refused before its origin was searched for. */
  notAdmitted: "not_admitted",
} as const;

export type StopReason = typeof StopReason[keyof typeof StopReason];

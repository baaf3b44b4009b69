/**
 * RPC methods that a control process without a replica forwards to a control
 * replica.
 */
export const hubCalls = {
  publish: "hub.publish",
  readDocument: "hub.read_document",
  startRollout: "hub.start_rollout",
  readRollout: "hub.read_rollout",
  mergeUpstream: "hub.merge_upstream",
  removeUpstream: "hub.remove_upstream",
  rateLimits: "hub.rate_limits",
  suspects: "hub.suspects",
  clearSuspect: "hub.clear_suspect",
  status: "hub.status",
} as const;

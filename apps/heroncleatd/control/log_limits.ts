/**
 * Limits on the replicated log by size, as the size of a command varies from
 * some bytes to several megabytes.
 */
export const logLimits = {
  /** Entries in one message; a message takes far less than a heartbeat. */
  maxAppendBytes: 256 * 1024,
  /** Characters of a snapshot or a large entry in one message. */
  chunkLength: 256 * 1024,
  /** Entries kept for slow members, if the snapshot is smaller. */
  trailingBytes: 1024 * 1024,
  /**
   * Entries that a member may lack, besides the newest one, and still count as
   * caught up.
   */
  maxLagBytes: 256 * 1024,
  /** Journal size at which a snapshot is taken, if the last one is smaller. */
  snapshotBytes: 4 * 1024 * 1024,
} as const;

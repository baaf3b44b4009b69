/**
 * What becomes of a request by the upstreams that ended under it.
 *
 * @public
 */
export const CrashStanding = {
  /** None ended under it, or it has been answered since. */
  unsuspected: "unsuspected",
  /** One has; as likely as not by chance. It goes where little else runs. */
  watched: "watched",
  /** A second one has: an entry runs one copy of it at a time. */
  single: "single",
  /** A third one has: it isn't sent on. */
  rejected: "rejected",
} as const;

/** @see CrashStanding @public */
export type CrashStanding = typeof CrashStanding[keyof typeof CrashStanding];

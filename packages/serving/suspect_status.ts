/**
 * What becomes of a request by the upstreams that ended under it.
 *
 * @public
 */
export const SuspectStatus = {
  /** None ended under it, or it has been answered since. */
  unsuspected: "unsuspected",
  /** One has; as likely as not by chance. It goes where little else runs. */
  watched: "watched",
  /** A second one has: an entry runs one copy of it at a time. */
  single: "single",
  /** A third one has: it isn't sent on. */
  rejected: "rejected",
} as const;

/** @public */
export type SuspectStatus = typeof SuspectStatus[keyof typeof SuspectStatus];

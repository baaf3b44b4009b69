/**
 * How entries treat a request, depending on the upstream crashes it was
 * involved in.
 *
 * @public
 */
export const SuspectStatus = {
  /** No crash since it last completed. */
  unsuspected: "unsuspected",
  /**
   * One crash, probably a coincidence: the request goes to an upstream with
   * little load.
   */
  watched: "watched",
  /**
   * Two successive crashes: an entry runs one copy of the request at a time.
   */
  single: "single",
  /** Three successive crashes: the request isn't forwarded. */
  rejected: "rejected",
} as const;

/** @public */
export type SuspectStatus = typeof SuspectStatus[keyof typeof SuspectStatus];

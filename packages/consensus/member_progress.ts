/** What a leader knows of another member's log. @public */
export type MemberProgress = {
  /** Last index known to match the leader's log. */
  readonly matchIndex: number;
  /** Index of the next entry to send. */
  readonly nextIndex: number;
  /** Characters of a snapshot or large entry that the member has received. */
  readonly transferOffset: number;
  /** Messages with entries or a chunk sent since the last progress. */
  readonly sendsSinceProgress: number;
};

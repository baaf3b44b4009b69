/** A request that ended or was refused, as its entry logged it. */
export type EndedRequest = {
  /** When it ended by the entry's wall clock, in ms since 1970. */
  readonly at: number;
  readonly route: string;
  /** Why it was late, refused or failed; `ON_TIME` if none of these. */
  readonly reason: string;
};

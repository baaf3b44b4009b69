/**
 * The claim of a class of requests to permits, compared with its share.
 *
 * @internal
 */
export const PermitClaim = {
  /** It lacks permits of its share, so it may draw on the next ones. */
  behind: "behind",
  /** It may have what is there. */
  even: "even",
  /** It leaves what is there to classes that lack permits. */
  yields: "yields",
} as const;

export type PermitClaim = typeof PermitClaim[keyof typeof PermitClaim];

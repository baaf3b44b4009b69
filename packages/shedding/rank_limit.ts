import type { Milliseconds } from "@heroncleat/base";

/** What a wait limit in favour of a more urgent rank depends on. */
type UrgentRank = {
  /** Objective of the more urgent rank. */
  readonly objective: Milliseconds;
  /** Prefill time that most of its requests don't exceed. */
  readonly prefillTime: Milliseconds;
  /** Time by which first tokens are later than estimated, in most cases. */
  readonly estimateError: Milliseconds;
  /** Share of its engine time that was refused in the last 2 s. */
  readonly refusedShare: number;
  /** Prefill time of the less urgent request. */
  readonly ownPrefillTime: Milliseconds;
};

/**
 * Longest wait at which a less urgent request is admitted, so that a more
 * urgent one that arrives next is on time.
 *
 * @public
 */
export type RankLimit = (urgent: UrgentRank) => Milliseconds;

import type { RankLimit } from "./rank_limit.ts";

/**
 * Maximum share of the more urgent objective that either prefill time counts
 * for. The largest prompts exceed their objective even at an idle upstream.
 */
const MAX_PREFILL_SHARE = 0.5;
/** Maximum share of the objective that the error of the estimate counts for. */
const MAX_ERROR_SHARE = 0.25;
/**
 * Maximum limit as a share of the more urgent objective: several more urgent
 * requests may arrive before an entry learns of their load. With 0.25, engine
 * time was left unused with 96 entries, whose estimates are older
 * (docs/design/25).
 */
const MAX_BUFFER_SHARE = 0.35;
const FIXED_SHARE = 0.5;
/** Refused share of the more urgent rank at which its limit is halved. */
const HALVING_SHARE = 0.05;

/** The objective less everything that delays the more urgent request. */
const buffer: RankLimit = (
  { objective, prefillTime, estimateError, ownPrefillTime },
) =>
  Math.min(
    objective * MAX_BUFFER_SHARE,
    objective - Math.min(objective * MAX_PREFILL_SHARE, prefillTime) -
      Math.min(objective * MAX_PREFILL_SHARE, ownPrefillTime) -
      Math.min(objective * MAX_ERROR_SHARE, estimateError),
  );

/** A fixed share of the objective. */
const fixedShare: RankLimit = ({ objective }) => objective * FIXED_SHARE;

/** As `buffer`, but less the more of the urgent requests were refused. */
const adaptive: RankLimit = (urgent) =>
  buffer(urgent) / (1 + urgent.refusedShare / HALVING_SHARE);

/** Ways to derive the wait limit of a less urgent rank. @public */
export const rankLimits = { buffer, fixedShare, adaptive } as const;

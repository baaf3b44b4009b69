import type { Milliseconds } from "@heroncleat/base";
import { ReclaimAction } from "./reclaim_action.ts";
import type { ReclaimPolicy } from "./reclaim_policy.ts";

/** What the choice is worked out from. */
type ReclaimRates = {
  /** Milliseconds between tokens at the leaving upstream. */
  readonly decodeInterval: Milliseconds;
  /** Tokens whose KV cache can be moved in a second. */
  readonly transferRate: number;
  /** Tokens of prompt computed in a second. */
  readonly prefillRate: number;
  /** Part of the notice that is kept in reserve. */
  readonly reserve: Milliseconds;
};

const MS_PER_SECOND = 1000;

/**
 * Finishing costs nothing when the notice allows it. Otherwise moving the KV
 * cache saves the recomputation, where the notice is long enough to move it
 * and moving is faster than computing.
 *
 * @public
 */
export function createReclaimPolicy(rates: ReclaimRates): ReclaimPolicy {
  return (situation) => {
    const notice = situation.reclaimIn - rates.reserve;
    // A slow upstream must not be trusted to finish at the usual pace.
    const pace = Math.max(rates.decodeInterval, situation.tokenInterval);
    if (situation.remainingTokens * pace <= notice) {
      return ReclaimAction.finish;
    }
    const transfer = situation.contextTokens / rates.transferRate *
      MS_PER_SECOND;
    const prefill = situation.contextTokens / rates.prefillRate * MS_PER_SECOND;
    if (transfer <= notice && transfer < prefill) {
      return ReclaimAction.transfer;
    }
    return ReclaimAction.resume;
  };
}

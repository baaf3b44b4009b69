import type { Milliseconds } from "@heroncleat/base";
import { ReclaimAction } from "./reclaim_action.ts";
import type { ReclaimPolicy } from "./reclaim_policy.ts";

/** Rates and times that the policy estimates with. */
type ReclaimRates = {
  /** Usual time between tokens at the departing upstream. */
  readonly decodeInterval: Milliseconds;
  /** Tokens per second whose KV cache can be transferred. */
  readonly transferRate: number;
  /** Prompt tokens per second. */
  readonly prefillRate: number;
  /** Safety margin, subtracted from the notice. */
  readonly reserve: Milliseconds;
};

const MS_PER_SECOND = 1000;

/**
 * Creates a policy that lets a stream finish if the notice is long enough.
 * Otherwise it transfers the KV cache, if the notice allows it and a transfer
 * is faster than prefill.
 *
 * @public
 */
export function createReclaimPolicy(rates: ReclaimRates): ReclaimPolicy {
  return (situation) => {
    const notice = situation.reclaimIn - rates.reserve;
    // A slow upstream can't be expected to finish at the usual rate.
    const tokenInterval = Math.max(
      rates.decodeInterval,
      situation.tokenInterval,
    );
    if (situation.remainingTokens * tokenInterval <= notice) {
      return ReclaimAction.finish;
    }
    const transferTime = situation.contextTokens / rates.transferRate *
      MS_PER_SECOND;
    const prefillTime = situation.contextTokens / rates.prefillRate *
      MS_PER_SECOND;
    if (transferTime <= notice && transferTime < prefillTime) {
      return ReclaimAction.transfer;
    }
    return ReclaimAction.resume;
  };
}

import type { Milliseconds } from "@heroncleat/base";

/**
 * Prompt tokens that the reference engine prefills per millisecond, without the
 * cost of attention. The speed of a service's engines is estimated as a
 * multiple of the reference engine's time; see `PrefillSpeed`.
 */
const REFERENCE_TOKENS_PER_MS = 50;
/** Attention cost of a million pairs of a token and one before it. */
const REFERENCE_TIME_PER_MILLION_PAIRS: Milliseconds = 0.37;
const MILLION = 1_000_000;

/**
 * Prefill time of a prompt on an idle reference engine; other engines take a
 * multiple of it. Each token attends to all tokens before it.
 *
 * @param uncached Tokens to prefill.
 * @param cached Tokens before them that are in the KV cache.
 * @public
 */
export function prefillTime(uncached: number, cached: number): Milliseconds {
  const pairs = uncached * (cached + uncached / 2);
  return uncached / REFERENCE_TOKENS_PER_MS +
    pairs / MILLION * REFERENCE_TIME_PER_MILLION_PAIRS;
}

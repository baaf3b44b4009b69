import type { Milliseconds } from "@heroncleat/base";

/**
 * Prompt tokens that an engine reads in a millisecond; 50 on the deployments
 * measured so far (41,000 tokens alone took 1,290 ms, with the pairs).
 */
const READ_RATE = 50;
/** Time for a million pairs of a token read and one before it. */
const PAIRS_COST: Milliseconds = 0.37;
const MILLION = 1_000_000;

/**
 * Time in which an idle engine reads a prompt. Attention makes it grow faster
 * than the number of tokens: each token read meets all those before it.
 *
 * @param uncached Tokens to read.
 * @param cached Tokens before them whose memory is there already.
 * @public
 */
export function readTime(uncached: number, cached: number): Milliseconds {
  const pairs = uncached * (cached + uncached / 2);
  return uncached / READ_RATE + pairs / MILLION * PAIRS_COST;
}

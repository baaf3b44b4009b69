import type { Milliseconds } from "@heroncleat/base";

/**
 * The state of a stream when its upstream announces a reclaim.
 *
 * @public
 */
export type ReclaimSituation = {
  /** Time until the VM is reclaimed. */
  readonly reclaimIn: Milliseconds;
  /** Tokens of the prompt and of the response so far. */
  readonly contextTokens: number;
  /** Maximum number of tokens that the response may still add. */
  readonly remainingTokens: number;
  /** Mean time between tokens of the stream; 0 before the second token. */
  readonly tokenInterval: Milliseconds;
};

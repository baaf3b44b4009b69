import type { Milliseconds } from "@heroncleat/base";

/** What is known when an upstream announces its reclaim. @public */
export type ReclaimSituation = {
  /** Time until the VM is taken. */
  readonly reclaimIn: Milliseconds;
  /** Tokens of the prompt and the answer so far. */
  readonly contextTokens: number;
  /** Tokens the answer may still have. */
  readonly remainingTokens: number;
  /** Time between tokens as it was here; 0 before the second token. */
  readonly tokenInterval: Milliseconds;
};

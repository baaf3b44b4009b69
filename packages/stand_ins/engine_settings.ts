import type { Milliseconds } from "@heroncleat/base";

/** Settings of a stand-in model engine. @public */
export type EngineSettings = {
  readonly slots: number;
  /** Prompt tokens computed per second. */
  readonly prefillRate: number;
  /** Time between tokens of one request. */
  readonly decodeInterval: Milliseconds;
  /** Tokens of KV cache moved per second. */
  readonly transferRate: number;
  /** Prompt blocks that the prefix cache holds. */
  readonly cacheBlocks: number;
  /**
   * Changes the text that is generated, as random sampling would; engines of
   * the same salt generate the same text.
   */
  readonly salt: string;
  /** Share by which a full batch slows each token down; 0 without it. */
  readonly batchSlowdown?: number;
};

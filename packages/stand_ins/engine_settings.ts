import type { Milliseconds } from "@heroncleat/base";

/** Settings of a stand-in model engine. @public */
export type EngineSettings = {
  readonly slots: number;
  /** Prompt tokens computed per second. */
  readonly prefillRate: number;
  /** Time between tokens of one request. */
  readonly decodeInterval: Milliseconds;
  /** Tokens of KV cache transferred per second. */
  readonly transferRate: number;
  /** Capacity of the prefix cache in prompt blocks. */
  readonly cacheBlocks: number;
  /**
   * Varies the generated text; engines with the same salt generate the same
   * text.
   */
  readonly salt: string;
  /** Relative increase of the decode interval at a full batch; default 0. */
  readonly batchSlowdown?: number;
};

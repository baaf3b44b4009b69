import type { Milliseconds } from "@heroncleat/base";

/** Capacities of one engine. */
export type EngineSettings = {
  readonly slots: number;
  readonly memoryTokens: number;
  /** Prompt tokens prefilled per millisecond, without the cost of attention. */
  readonly prefillSpeed: number;
  /** Time of a decoding step with one running request. */
  readonly step: Milliseconds;
};

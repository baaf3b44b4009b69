import type { Outcome } from "./outcome.ts";

/** Measurements of one play. */
export type PlayResult = {
  readonly outcomes: readonly Outcome[];
  /** Share of engine time unused while a request waited or was refused. */
  readonly unusedShare: number;
  /** Tokens of shared parts that an engine prefilled again. */
  readonly readAgainTokens: number;
  /** Most tokens of requests held by one engine, as a share of its memory. */
  readonly memoryShare: number;
};

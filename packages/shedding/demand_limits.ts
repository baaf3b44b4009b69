import type { Milliseconds } from "@heroncleat/base";

/** Limits of the demand that entries and control replicas keep and exchange. */
export const demandLimits = {
  /** Window in which demand is counted, and lifetime of sums over entries. */
  window: 2000 as Milliseconds,
  /** Rows of a service; the smallest beyond them are summed. */
  maxRows: 256,
} as const;

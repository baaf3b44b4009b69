import type { Priority } from "@heroncleat/schema";

/** Request rate, sizes and mix of one group of callers. */
export type Workload = {
  readonly name: string;
  /** Base request rate, in requests per second. */
  readonly rate: number;
  /** Number of shared prompt prefixes in each workspace. */
  readonly prefixCount: number;
  /** Length of a shared prefix in words. */
  readonly prefixWords: number;
  /** Length of the rest of each prompt in words. */
  readonly uniqueWords: number;
  readonly minTokens: number;
  readonly maxTokens: number;
  readonly priorities: readonly Priority[];
  /** Share of the requests that each workspace sends, from 0 to 1. */
  readonly shares: readonly number[];
};

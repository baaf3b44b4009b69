import type { Priority } from "@heroncleat/schema";

/** What one customer's callers send. */
export type Workload = {
  readonly name: string;
  /** Requests a second in calm times. */
  readonly rate: number;
  /** Different beginnings of prompts in each workspace: restaurants, members. */
  readonly prefixes: number;
  /** Words of one beginning. */
  readonly sharedWords: number;
  /** Words of each prompt's own. */
  readonly ownWords: number;
  readonly leastTokens: number;
  readonly mostTokens: number;
  readonly priorities: readonly Priority[];
  /** Share of the requests that each of five workspaces sends. */
  readonly shares: readonly number[];
};

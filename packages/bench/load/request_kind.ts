import type { Milliseconds } from "@heroncleat/base";

/** One kind of request of a load. */
export type RequestKind = {
  readonly name: string;
  readonly service: string;
  /** Rank in the queues of engines; 0 is the most urgent. */
  readonly rank: number;
  /** Mean size of the shared part and of the rest of the prompt, in tokens. */
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly events: number;
  readonly perSecond: number;
  /** Time until the first event is late. */
  readonly objective: Milliseconds;
  /** Longest pause between two events of a response on time. */
  readonly maxPause: Milliseconds;
  /** Time after which the caller gives up. */
  readonly timeBudget: Milliseconds;
  readonly benefitOnTime: number;
  readonly benefitLate: number;
};

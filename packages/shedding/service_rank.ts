import type { Milliseconds } from "@heroncleat/base";

/** A rank of requests to a service, and their objective. @public */
export type ServiceRank = {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time to first token that requests of the rank should get. */
  readonly objective: Milliseconds;
};

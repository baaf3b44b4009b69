import type { Milliseconds } from "@heroncleat/base";

/** Demand of one workspace at one rank of a service. @public */
export type DemandRow = {
  readonly priority: number;
  /** Empty for requests without a key, and for rows that were summed. */
  readonly workspace: string;
  /** Engine time of the requests of the last 2 s. */
  readonly asked: Milliseconds;
  /** Engine time of those of them that were admitted. */
  readonly admitted: Milliseconds;
};

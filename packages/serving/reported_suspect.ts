import type { Milliseconds } from "@heroncleat/base";
import type { ReportedCrash } from "./reported_crash.ts";
import type { SuspectKey } from "./suspect_key.ts";

/**
 * A request that ran on upstreams that crashed, as processes exchange it.
 * @public
 */
export type ReportedSuspect = SuspectKey & {
  readonly crashes: readonly ReportedCrash[];
  /**
   * Largest number of upstreams of its service that any process had a record of
   * at these crashes.
   */
  readonly upstreams?: number | undefined;
  /** Time since a copy of the request last completed; absent if none has. */
  readonly answeredAge?: Milliseconds | undefined;
};

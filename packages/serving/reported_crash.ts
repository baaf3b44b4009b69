import type { Milliseconds } from "@heroncleat/base";

/**
 * A crash of an upstream during a run of a request. Times are sent as ages, as
 * the clocks of processes differ.
 *
 * @public
 */
export type ReportedCrash = {
  /** ID of the instance that crashed. */
  readonly upstream: string;
  /** Time since the request was sent to it. */
  readonly sentAge: Milliseconds;
  /** Time since the connection to it closed. */
  readonly endedAge: Milliseconds;
};

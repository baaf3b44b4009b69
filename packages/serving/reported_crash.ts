import type { Milliseconds } from "@heroncleat/base";

/**
 * That an upstream ended while it ran a request. Processes tell each other
 * ages, as their clocks differ.
 *
 * @public
 */
export type ReportedCrash = {
  /** Identity of the start that ended. */
  readonly upstream: string;
  /** Time since the request was sent there. */
  readonly sentAge: Milliseconds;
  /** Time since its connection ended. */
  readonly endedAge: Milliseconds;
};

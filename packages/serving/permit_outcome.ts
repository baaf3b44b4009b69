import type { Milliseconds } from "@heroncleat/base";

/** What became of a request that waits for a permit. @public */
export type PermitOutcome = {
  /**
   * The upstream that it may be sent to; null if none of those that it names
   * accepts it now.
   */
  readonly granted: string | null;
  /** Time until requests of its class may ask again for other upstreams. */
  readonly availableIn: Readonly<Record<string, Milliseconds>>;
};

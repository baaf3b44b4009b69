import type { Milliseconds } from "@heroncleat/base";

/** Load from which the required capacity of a service is estimated. */
export type FleetLoad = {
  /** Prefill time of all prompts so far on the reference engine. */
  readonly readWork: Milliseconds;
  /**
   * Prefill time as a multiple of the reference engine's; undefined until
   * measured.
   */
  readonly prefillSpeed: number | undefined;
  /** Requests in flight at the upstreams of the service. */
  readonly requests: number;
  /**
   * Maximum number of concurrent requests of one upstream; undefined if
   * unlimited.
   */
  readonly slots: number | undefined;
};

import type { Milliseconds } from "@heroncleat/base";

/** Settings of the capacity planner. @public */
export type CapacitySettings = {
  /** Slots held for each slot in use, so that queues stay short. */
  readonly headroom: number;
  /** Part of the demand that must be held when the largest zone is lost. */
  readonly survivingShare: number;
  /** Extra cost, as a share of the price, that a reclaim is expected to bring. */
  readonly reclaimRisk: number;
  /** First and longest pause after a refused start. */
  readonly backoff: Milliseconds;
  readonly mostBackoff: Milliseconds;
  /** How long more must be held than needed before a VM is stopped. */
  readonly stopAfter: Milliseconds;
  /** Starts asked for at once. */
  readonly mostStarts: number;
};

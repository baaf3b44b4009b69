import type { Milliseconds } from "@heroncleat/base";

/** Settings of the capacity planner. @public */
export type CapacitySettings = {
  /** Slots to hold per slot in use; more than 1 keeps queues short. */
  readonly headroom: number;
  /** Share of the demand that the other zones cover if the largest is lost. */
  readonly survivingShare: number;
  /** Expected cost of a reclaim, as a share of the price. */
  readonly reclaimRisk: number;
  /** Delay after the first refused start; doubles with each further one. */
  readonly initialBackoff: Milliseconds;
  readonly maxBackoff: Milliseconds;
  /** Time for which a surplus must last before a VM is stopped. */
  readonly scaleInDelay: Milliseconds;
  /** Starts in one plan. */
  readonly maxStarts: number;
};

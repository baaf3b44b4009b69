/** Sizing of the fleet. @public */
export type FleetSettings = {
  /**
   * Spot upstreams per zone before the first request of a new system, as a
   * share of the maximum per zone.
   */
  readonly initialShare: number;
  /** Target share of an upstream's time that is spent on prefill. */
  readonly utilization: number;
  /** Target share of an upstream's slots that requests occupy. */
  readonly slotShare: number;
};

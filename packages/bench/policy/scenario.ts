/** Load and failures of one run. */
export type Scenario = {
  readonly name: string;
  /** Multiple of the workload's base request rate, by time in ms. */
  readonly load: (at: number) => number;
  /** Zone whose reclaimable VMs are reclaimed, and the time in ms. */
  readonly zoneReclaim?: { readonly zone: string; readonly at: number };
  /**
   * Whether starts of reclaimable VMs are refused for a while after the
   * reclaim.
   */
  readonly refusesVmStarts?: boolean;
  /** Factor by which the decode interval of one upstream is longer. */
  readonly decodeSlowdown?: number;
  /** Share of cache events that are lost, from 0 to 1. */
  readonly cacheEventLoss?: number;
};

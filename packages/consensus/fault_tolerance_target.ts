/**
 * Simultaneous failures that a group must survive: that many VMs, that many
 * zones or that many regions, but not combinations of them.
 */
export type FaultToleranceTarget = {
  /** VMs that run a replica. */
  readonly machines: number;
  readonly zones: number;
  readonly regions: number;
};

/** What may be lost at once while the group goes on; any one of the three. */
export type FaultToleranceTarget = {
  /** VMs with a replica. */
  readonly machines: number;
  /** Availability zones. */
  readonly zones: number;
  readonly regions: number;
};

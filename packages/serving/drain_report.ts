/** Measurements of simulated drains. @internal */
export type DrainReport = {
  /** New streams, and those that began. */
  sent: number;
  begun: number;
  whole: number;
  /** Tries to go on with a stream, and those that an upstream took. */
  resumed: number;
  /** Those for which an upstream of the version could still be sent something. */
  continuable: number;
  wentOn: number;
  /** Requests that arrived beyond the slots of an upstream. */
  beyondSlots: number;
  /** Requests at upstreams later than the drain timeout. */
  overDrain: number;
  /** First tries that were sent to upstreams known to drain. */
  plainAtDraining: number;
  /** First tries at upstreams later than a second after the acknowledgement. */
  plainLate: number;
  twoVersions: number;
  /** Drains that were acknowledged, and the longest time that it took. */
  acknowledged: number;
  slowestAcknowledgement: number;
};

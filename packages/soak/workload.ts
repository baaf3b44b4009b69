import type { Milliseconds } from "@heroncleat/base";

/** How callers and upstreams of a soak behave. @public */
export type Workload = {
  /** Time in which a caller wants each try answered, and that of the routes. */
  readonly requestTimeout: Milliseconds;
  /** Tries of a request that hasn't begun to be answered. */
  readonly maxTries: number;
  /** Whether all callers keep their connection until the process is gone. */
  readonly areCallersSticky: boolean;
  /** Share of resumable streams of which a caller loses the connection. */
  readonly closedShare: number;
  /** Share of the responses that upstreams break off. */
  readonly brokenShare: number;
  /** Share of the heartbeats that arrive late. */
  readonly lateShare: number;
  /** Share of the runs that last long. */
  readonly longShare: number;
  /** Share of those whose duration has an exponential tail. */
  readonly tailShare: number;
  /** Mean of that tail. */
  readonly tail: Milliseconds;
  /** Factor on durations of runs that begin while an entry stops. */
  readonly slowFactor: number;
};

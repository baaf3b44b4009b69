import type { Milliseconds } from "./milliseconds.ts";

/**
 * A source of time. The origins of `now` and `steady` are arbitrary; only the
 * difference between two readings is meaningful.
 *
 * @public
 */
export type Clock = {
  /**
   * Time that advances by the larger of the monotonic and the wall clock, so
   * that a lease held by this process never outlives a suspended VM.
   */
  now(): Milliseconds;
  /**
   * Monotonic time, including the time for which the VM was suspended. A
   * process that grants leases uses this clock, because it doesn't advance
   * when the wall clock is set.
   */
  steady(): Milliseconds;
  /** Unix time, for display and for retention periods. */
  wall(): Milliseconds;
};

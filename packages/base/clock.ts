import type { Milliseconds } from "./milliseconds.ts";

/**
 * The one source of time. The origin of `now` and `steady` is arbitrary; only
 * differences mean anything.
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
   * Monotonic time, with the time for which the VM was suspended. Whoever
   * grants a lease counts with this one: it never runs ahead when the wall
   * clock is set.
   */
  steady(): Milliseconds;
  /** Wall-clock time since 1970, for people and for retention. */
  wall(): Milliseconds;
};

import type { Milliseconds } from "@heroncleat/base";

/**
 * The two readings of the clock that a replica needs: `now` for what it holds
 * (a lease may end early), `steady` for what it grants (a promise may last
 * long).
 *
 * @public
 */
export type ClockReading = {
  readonly now: Milliseconds;
  readonly steady: Milliseconds;
};

import type { Milliseconds } from "@heroncleat/base";

/**
 * Readings of the two clocks that a replica uses. The leader measures its lease
 * on `now`, which may run ahead and so end a lease early. Followers measure
 * their refusal of votes on `steady`, which never runs ahead.
 *
 * @public
 */
export type ClockReading = {
  readonly now: Milliseconds;
  readonly steady: Milliseconds;
};

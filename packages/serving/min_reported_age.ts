import type { Milliseconds } from "@heroncleat/base";

/**
 * Smaller ages of heartbeats are left out of replies. After two hops this hides
 * at most 1 s, which is less than the heartbeat interval.
 *
 * @internal
 */
export const MIN_REPORTED_AGE: Milliseconds = 500;

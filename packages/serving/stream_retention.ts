import type { Milliseconds } from "@heroncleat/base";

/**
 * Longest time from the first event of a stream to its caller's last attempt to
 * resume it. Versions and routes that changed within it may have begun a stream
 * that still goes on.
 *
 * @public
 */
export const STREAM_RETENTION: Milliseconds = 60_000;

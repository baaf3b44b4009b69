import type { Milliseconds } from "@heroncleat/base";

/**
 * Pause between checks while a request waits for an upstream or another copy.
 */
export const POLL_INTERVAL: Milliseconds = 20;

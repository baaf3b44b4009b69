import type { Milliseconds } from "./milliseconds.ts";

/** Longer timers of Node.js fire at once. About 25 days. */
const MAX_TIMER_DELAY: Milliseconds = 2 ** 31 - 1;

/**
 * Limits a time to what timers and socket timeouts of Node.js take: they throw
 * or fire at once for longer, negative or infinite ones.
 *
 * @public
 */
export function timerDelay(time: Milliseconds): Milliseconds {
  return Math.min(MAX_TIMER_DELAY, Math.max(0, time));
}

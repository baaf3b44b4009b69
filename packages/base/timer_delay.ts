import type { Milliseconds } from "./milliseconds.ts";

/**
 * 24 days. Timers of Node.js that are longer than 2^31 - 1 fire at once, and its
 * servers add to the idle timeout that they are given.
 */
const MAX_TIMER_DELAY: Milliseconds = 24 * 86_400_000;

/**
 * Limits a time to what timers and socket timeouts of Node.js take: they throw
 * or fire at once for longer, negative or infinite ones. A time that isn't a
 * number gives nobody up early.
 *
 * @public
 */
export function timerDelay(time: Milliseconds): Milliseconds {
  return Number.isNaN(time)
    ? MAX_TIMER_DELAY
    : Math.min(MAX_TIMER_DELAY, Math.max(0, time));
}

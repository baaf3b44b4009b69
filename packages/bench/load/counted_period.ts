/**
 * Requests that callers first send in this period are counted. Faults and
 * surges last as long; the time before it fills caches and lets entries learn
 * the speed of engines.
 */
export const COUNTED_PERIOD = { from: 8000, to: 20_000 } as const;

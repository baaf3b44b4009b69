import type { Milliseconds } from "@heroncleat/base";

/** Interval of full exchanges, with the primary, for few entries. */
const FULL_INTERVAL: Milliseconds = 150;
/** Interval of short exchanges, with each other replica, for few entries. */
const SHORT_INTERVAL: Milliseconds = 400;
/**
 * Number of entries above which intervals grow, so that the total load on a
 * replica stays constant.
 */
const ENTRY_SCALING_THRESHOLD = 32;
/**
 * Upper bound of the other intervals. It limits the age of an entry's view of
 * the others.
 */
const MAX_INTERVAL: Milliseconds = 600;
/**
 * Upper bound of the interval of short exchanges, which make up most of an idle
 * entry's work where there are many replicas. Replicas treat an entry as
 * unresponsive after one and a half times this time.
 */
const MAX_SHORT_INTERVAL: Milliseconds = 800;
/**
 * Pause between two short exchanges of an entry while the group is undivided.
 * Each other replica takes its turn, so that an entry's work doesn't grow with
 * the number of replicas.
 */
const RELAXED_PAUSE: Milliseconds = 400;
/** Upper bound of the interval to which those pauses add up. */
const MAX_RELAXED_INTERVAL: Milliseconds = 2000;
/**
 * Interval before the first configuration, for few entries. It is short so that
 * entries that start together serve as soon as there is a leader.
 */
const INITIAL_INTERVAL: Milliseconds = 50;
const CHECKS_PER_FULL_INTERVAL = 3;
/** Pause between exchanges that confirm an entry's view, for few entries. */
const CONFIRMATION_PAUSE: Milliseconds = 20;
/** Upper bound of that pause; callers wait for it. */
const MAX_CONFIRMATION_PAUSE: Milliseconds = 80;

/**
 * Intervals between the exchanges of an entry with one control replica, by the
 * number of entries.
 *
 * @public
 */
export const exchangeInterval = {
  /** Whether there are so many entries that intervals grow. */
  isScaled(entries: number): boolean {
    return entries > ENTRY_SCALING_THRESHOLD;
  },

  /** Of full exchanges, with the primary. */
  full(entries: number): Milliseconds {
    return scaleToEntries(FULL_INTERVAL, entries);
  },

  /** Of short exchanges, with each other replica. */
  short(entries: number): Milliseconds {
    return scaleToEntries(SHORT_INTERVAL, entries, MAX_SHORT_INTERVAL);
  },

  /**
   * Of short exchanges, with each other replica, while all replicas are
   * reachable and all entries have the same primary.
   */
  relaxed(entries: number, otherReplicas: number): Milliseconds {
    const interval = exchangeInterval.short(entries);
    return exchangeInterval.isScaled(entries)
      ? Math.max(
        interval,
        Math.min(MAX_RELAXED_INTERVAL, otherReplicas * RELAXED_PAUSE),
      )
      : interval;
  },

  /** Of exchanges with each replica before the first configuration. */
  initial(entries: number): Milliseconds {
    return scaleToEntries(INITIAL_INTERVAL, entries);
  },

  /** Of exchanges with all replicas that callers wait for, at least. */
  confirmation(entries: number): Milliseconds {
    return scaleToEntries(CONFIRMATION_PAUSE, entries, MAX_CONFIRMATION_PAUSE);
  },

  /** Of checks for exchanges that are due; each check wakes the process up. */
  check(entries: number): Milliseconds {
    return scaleToEntries(FULL_INTERVAL, entries) / CHECKS_PER_FULL_INTERVAL;
  },
};

function scaleToEntries(
  interval: Milliseconds,
  entries: number,
  max = MAX_INTERVAL,
): Milliseconds {
  return Math.min(
    max,
    interval * Math.max(1, entries / ENTRY_SCALING_THRESHOLD),
  );
}

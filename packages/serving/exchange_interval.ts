import type { Milliseconds } from "@heroncleat/base";

/** Pause between two whole exchanges, with the primary, of few entries. */
const FULL_INTERVAL: Milliseconds = 150;
/** Pause between two short exchanges with each other replica. */
const SHORT_INTERVAL: Milliseconds = 400;
/**
 * Entries from which the pauses grow, so that what all of them together ask of
 * one replica stays the same.
 */
const ENTRY_SCALING_THRESHOLD = 32;
/**
 * Longest pause. An entry's view of the others is as old as that, and replicas
 * take one that is silent for twice as long to be lost.
 */
const MAX_INTERVAL: Milliseconds = 600;
/**
 * Pause before the first configuration of few entries. One that starts with all
 * others serves as soon as there is a leader.
 */
const INITIAL_INTERVAL: Milliseconds = 50;
/** Looks at what is due in the time of one whole exchange. */
const CHECKS_PER_FULL_INTERVAL = 3;

/**
 * Pauses between two exchanges of an entry with one control replica, and the
 * silence after which it counts as out of reach, by the number of entries.
 *
 * @public
 */
export const exchangeInterval = {
  /** With the primary. */
  full(entries: number): Milliseconds {
    return scaleToEntries(FULL_INTERVAL, entries);
  },

  /** With each other replica. */
  short(entries: number): Milliseconds {
    return scaleToEntries(SHORT_INTERVAL, entries);
  },

  /** With each replica, while there is no configuration yet. */
  initial(entries: number): Milliseconds {
    return scaleToEntries(INITIAL_INTERVAL, entries);
  },

  /** Between two looks at which exchanges are due; each look is a wake-up. */
  check(entries: number): Milliseconds {
    return scaleToEntries(FULL_INTERVAL, entries) / CHECKS_PER_FULL_INTERVAL;
  },
};

function scaleToEntries(interval: Milliseconds, entries: number): Milliseconds {
  return Math.min(
    MAX_INTERVAL,
    interval * Math.max(1, entries / ENTRY_SCALING_THRESHOLD),
  );
}

import type { Milliseconds } from "@heroncleat/base";

/** Pause between two whole exchanges, with the primary, of few entries. */
const WHOLE: Milliseconds = 150;
/** Pause between two short exchanges with each other replica. */
const SHORT: Milliseconds = 400;
/**
 * Entries from which the pauses grow, so that what all of them together ask of
 * one replica stays the same.
 */
const PACED_ENTRIES = 32;
/**
 * Longest pause. An entry's view of the others is as old as that, and replicas
 * take one that is silent for twice as long to be lost.
 */
const LONGEST: Milliseconds = 600;
/**
 * Pause before the first configuration of few entries. One that starts with all
 * others serves as soon as there is a leader.
 */
const FIRST: Milliseconds = 50;
/** Looks at what is due in the time of one whole exchange. */
const LOOKS = 3;

/**
 * Pauses between two exchanges of an entry with one control replica, and the
 * silence after which it counts as out of reach, by the number of entries.
 *
 * @public
 */
export const exchangePause = {
  /** With the primary. */
  whole(entries: number): Milliseconds {
    return paced(WHOLE, entries);
  },

  /** With each other replica. */
  short(entries: number): Milliseconds {
    return paced(SHORT, entries);
  },

  /** With each replica, while there is no configuration yet. */
  first(entries: number): Milliseconds {
    return paced(FIRST, entries);
  },

  /** Between two looks at which exchanges are due; each look is a wake-up. */
  look(entries: number): Milliseconds {
    return paced(WHOLE, entries) / LOOKS;
  },
};

function paced(pause: Milliseconds, entries: number): Milliseconds {
  return Math.min(LONGEST, pause * Math.max(1, entries / PACED_ENTRIES));
}

import type { Milliseconds } from "@heroncleat/base";
import { MIN_REPORTED_AGE } from "./min_reported_age.ts";

/**
 * A heartbeat may have been sent this much earlier than its recorded time: it
 * comes by up to two processes, each of which may leave out its age.
 */
const MAX_HIDDEN_AGE: Milliseconds = 2 * MIN_REPORTED_AGE;
/** Bounds the memory; the oldest breaks are dropped beyond it. */
const MAX_BREAKS = 1000;

type Break = { readonly at: Milliseconds };

/**
 * Judges by one entry's connections whether the process that sent the last
 * heartbeat of an upstream may have ended since. Another one may then have
 * started at its address, with another software version that isn't known yet.
 *
 * @public
 */
export class ProcessContinuity {
  /** When the open connections were opened. */
  readonly #openedAt = new Map<object, Milliseconds>();
  /** Those that may have come from an end of the process, the oldest first. */
  readonly #breaks = new Set<Break>();

  recordOpen(connection: object, now: Milliseconds): void {
    this.#openedAt.set(connection, now);
  }

  recordClose(connection: object): void {
    this.#openedAt.delete(connection);
  }

  /** Whether a connection is open and was opened before a time. */
  isOpenSince(connection: object, time: Milliseconds): boolean {
    return (this.#openedAt.get(connection) ?? Infinity) < time;
  }

  /**
   * Records that the peer broke a connection, or refused one. Returns a
   * function that records that its process has not ended by that.
   */
  recordBreak(now: Milliseconds): () => void {
    const recorded: Break = { at: now };
    this.#breaks.add(recorded);
    if (this.#breaks.size > MAX_BREAKS) {
      for (const oldest of this.#breaks) {
        this.#breaks.delete(oldest);
        break;
      }
    }
    return () => this.#breaks.delete(recorded);
  }

  /** @param heartbeatAt When the last heartbeat was recorded. */
  mayHaveEnded(heartbeatAt: Milliseconds): boolean {
    const aliveAt = heartbeatAt - MAX_HIDDEN_AGE;
    for (const recorded of this.#breaks) {
      if (recorded.at > aliveAt) {
        return !this.#hasConnectionSince(aliveAt);
      }
      this.#breaks.delete(recorded);
    }
    return false;
  }

  /** A connection that has been open since then leads to the same process. */
  #hasConnectionSince(time: Milliseconds): boolean {
    for (const openedAt of this.#openedAt.values()) {
      if (openedAt <= time) {
        return true;
      }
    }
    return false;
  }
}

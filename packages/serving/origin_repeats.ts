import type { Milliseconds } from "@heroncleat/base";

/** Time after which holders are told again; longer than most loss bursts. */
const REPEAT_DELAY: Milliseconds = 350;

/**
 * Streams of which holders are to be told once more, as the first datagrams may
 * have been lost together.
 *
 * @public
 */
export class OriginRepeats {
  static readonly delay: Milliseconds = REPEAT_DELAY;
  /** When each stream is due, the earliest first. */
  readonly #dueAt = new Map<string, Milliseconds>();

  get size(): number {
    return this.#dueAt.size;
  }

  /** A stream that is shared again meanwhile is repeated once. */
  add(stream: string, now: Milliseconds): void {
    this.#dueAt.delete(stream);
    this.#dueAt.set(stream, now + REPEAT_DELAY);
  }

  /** Returns the streams that are due, each once. */
  takeDue(now: Milliseconds): string[] {
    const due: string[] = [];
    for (const [stream, dueAt] of this.#dueAt) {
      if (dueAt > now) {
        break;
      }
      this.#dueAt.delete(stream);
      due.push(stream);
    }
    return due;
  }
}

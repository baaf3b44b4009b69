import type { Milliseconds } from "@heroncleat/base";
import type { QueuedWork } from "./queued_work.ts";

/**
 * Queued work of one upstream, measured as the time to complete it. Added work
 * is queued behind the existing work, and the queue drains as time passes.
 *
 * @internal
 */
export class Backlog {
  #doneAt: Milliseconds = 0;
  /** Work whose end will be known, in order. */
  readonly #queue = new Set<QueuedWork>();

  add(work: Milliseconds, now: Milliseconds): void {
    this.#doneAt = Math.max(now, this.#doneAt) + work;
  }

  /** Adds work that takes the expected time at most; `end` follows. */
  begin(work: Milliseconds, now: Milliseconds): QueuedWork {
    this.add(work, now);
    const queued = { work, doneAt: this.#doneAt };
    this.#queue.add(queued);
    return queued;
  }

  /** Removes what is left of work that has ended. */
  end(ended: QueuedWork, now: Milliseconds): void {
    const left = Math.max(0, Math.min(ended.work, ended.doneAt - now));
    if (left > 0) {
      this.#advanceBehind(ended, left);
    }
    this.#queue.delete(ended);
  }

  remaining(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#doneAt - now);
  }

  #advanceBehind(ended: QueuedWork, saved: Milliseconds): void {
    this.#doneAt -= saved;
    let isBehind = false;
    for (const queued of this.#queue) {
      if (isBehind) {
        queued.doneAt -= saved;
      }
      isBehind ||= queued === ended;
    }
  }
}

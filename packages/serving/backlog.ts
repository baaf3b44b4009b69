import type { Milliseconds } from "@heroncleat/base";

/**
 * Queued work of one upstream, measured as the time to complete it. Added work
 * is queued behind the existing work, and the queue drains as time passes.
 *
 * @internal
 */
export class Backlog {
  #doneAt: Milliseconds = 0;

  add(work: Milliseconds, now: Milliseconds): void {
    this.#doneAt = Math.max(now, this.#doneAt) + work;
  }

  remaining(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#doneAt - now);
  }
}

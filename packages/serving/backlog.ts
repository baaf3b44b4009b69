import type { Milliseconds } from "@heroncleat/base";

/**
 * Work that waits at one upstream, as time until it would be done. Work that
 * is added goes behind what is there; it drains as time passes.
 *
 * @internal
 */
export class Backlog {
  #doneAt: Milliseconds = 0;

  add(work: Milliseconds, now: Milliseconds): void {
    this.#doneAt = Math.max(now, this.#doneAt) + work;
  }

  left(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#doneAt - now);
  }
}

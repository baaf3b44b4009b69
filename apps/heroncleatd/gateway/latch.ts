import type { Milliseconds } from "@heroncleat/base";

/** A one-shot latch: waiters are blocked until it is released for good. */
export class Latch {
  #isReleased = false;
  readonly #waiters = new Set<() => void>();

  release(): void {
    this.#isReleased = true;
    for (const proceed of this.#waiters) {
      proceed();
    }
  }

  /** Resolves when the latch is released, or after a timeout. */
  wait(timeout: Milliseconds): Promise<void> {
    if (this.#isReleased) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const proceed = () => {
        clearTimeout(timer);
        this.#waiters.delete(proceed);
        resolve();
      };
      const timer = setTimeout(proceed, timeout);
      this.#waiters.add(proceed);
    });
  }
}

import type { Milliseconds } from "@heroncleat/base";

/** Something to wait for that happens once. */
export class Latch {
  #isReleased = false;
  readonly #waiters = new Set<() => void>();

  release(): void {
    this.#isReleased = true;
    for (const proceed of this.#waiters) {
      proceed();
    }
  }

  /** Resolves when it opens, or after a time. */
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

import type { Milliseconds } from "@heroncleat/base";

/** Something to wait for that happens once. */
export class Gate {
  #isOpen = false;
  readonly #waiting = new Set<() => void>();

  open(): void {
    this.#isOpen = true;
    for (const proceed of this.#waiting) {
      proceed();
    }
  }

  /** Resolves when it opens, or after a time. */
  wait(timeout: Milliseconds): Promise<void> {
    if (this.#isOpen) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const proceed = () => {
        clearTimeout(timer);
        this.#waiting.delete(proceed);
        resolve();
      };
      const timer = setTimeout(proceed, timeout);
      this.#waiting.add(proceed);
    });
  }
}

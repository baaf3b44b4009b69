import type { Milliseconds } from "@heroncleat/base";

/** Time to which the number of turns applies. */
const INTERVAL: Milliseconds = 20;

/**
 * Gives turns at reading to connections, one in each turn of the event loop and
 * a limited number in each interval, so that what they read neither fills the
 * memory nor holds up others, however many they are.
 */
export class ReadTurns {
  readonly #turnsPerInterval: number;
  /** The one that has waited for longest comes first. */
  readonly #waiting = new Set<() => void>();
  #intervalStart: Milliseconds = 0;
  #turnsLeft = 0;
  #isScheduled = false;

  constructor(turnsPerInterval: number) {
    this.#turnsPerInterval = turnsPerInterval;
  }

  /** Calls a function once it is its turn. Returns a function that undoes this. */
  add(read: () => void): () => void {
    this.#waiting.add(read);
    this.#schedule();
    return () => this.#waiting.delete(read);
  }

  #schedule(): void {
    if (this.#isScheduled || this.#waiting.size === 0) {
      return;
    }
    this.#isScheduled = true;
    const now = performance.now();
    if (now - this.#intervalStart >= INTERVAL) {
      this.#intervalStart = now;
      this.#turnsLeft = this.#turnsPerInterval;
    }
    if (this.#turnsLeft > 0) {
      setImmediate(() => this.#run());
      return;
    }
    setTimeout(() => this.#run(), this.#intervalStart + INTERVAL - now).unref();
  }

  #run(): void {
    this.#isScheduled = false;
    if (this.#turnsLeft > 0) {
      const [read] = this.#waiting;
      if (read !== undefined) {
        this.#turnsLeft -= 1;
        this.#waiting.delete(read);
        read();
      }
    }
    this.#schedule();
  }
}

import type { Milliseconds } from "@heroncleat/base";
import type { ReadOutcome } from "./read_outcome.ts";

/**
 * Time for which waiting bytes are parsed in one turn of the event loop, in which
 * one new connection is accepted.
 */
const TURN_TIME: Milliseconds = 2;
/** Default limit of the bytes that wait, at all connections of a server. */
const MAX_WAITING_BYTES = 64 * 1024 * 1024;

type QueueOptions = {
  /** Called for each connection of which nothing more is read. */
  readonly onRefusal: (outcome: ReadOutcome) => void;
  /** Returns how many bytes may wait. */
  readonly maxBytes?: (() => number | undefined) | undefined;
};

/** The connections of a server whose bytes wait to be parsed, in turn. */
export class ReadQueue {
  readonly #onRefusal: QueueOptions["onRefusal"];
  readonly #maxBytes: () => number | undefined;
  readonly #waiting = new Set<() => void>();
  #bytes = 0;
  #isScheduled = false;

  constructor({ onRefusal, maxBytes }: QueueOptions) {
    this.#onRefusal = onRefusal;
    this.#maxBytes = maxBytes ?? (() => undefined);
  }

  /** Whether no connection waits. */
  get isEmpty(): boolean {
    return this.#waiting.size === 0;
  }

  /** Whether more bytes may wait. */
  get hasRoom(): boolean {
    return this.#bytes < (this.#maxBytes() ?? MAX_WAITING_BYTES);
  }

  /** Counts bytes that wait from now on, or no longer if negative. */
  countBytes(change: number): void {
    this.#bytes += change;
  }

  recordRefusal(outcome: ReadOutcome): void {
    this.#onRefusal(outcome);
  }

  /** Lets a connection parse some bytes once those before it have. */
  add(parse: () => void): void {
    this.#waiting.add(parse);
    this.#schedule();
  }

  remove(parse: () => void): void {
    this.#waiting.delete(parse);
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => this.#run());
    }
  }

  #run(): void {
    this.#isScheduled = false;
    const startedAt = performance.now();
    // One that isn't finished is added again, behind the others.
    for (const parse of [...this.#waiting]) {
      this.#waiting.delete(parse);
      parse();
      if (performance.now() - startedAt > TURN_TIME) {
        break;
      }
    }
    if (!this.isEmpty) {
      this.#schedule();
    }
  }
}

import { streamEvents } from "./stream_events.ts";
import type { StreamOutcome } from "./stream_outcome.ts";

/** The events of one stream, as its caller receives them over several tries. */
export class ReceivedStream {
  readonly path: string;
  readonly #versions = new Set<string>();
  #lastId = 0;
  #problem: string | undefined;
  /** Attempt that brought the first event; undefined without one. */
  #origin: string | undefined;

  constructor(path: string) {
    this.path = path;
  }

  get lastId(): number {
    return this.#lastId;
  }

  get origin(): string | undefined {
    return this.#origin;
  }

  /** Version that began it; undefined before the first event. */
  get version(): string | undefined {
    return [...this.#versions][0];
  }

  get isWhole(): boolean {
    return this.#lastId === streamEvents.count;
  }

  /**
   * Appends what a try brought.
   *
   * @param body Text that arrived, whether or not the response was complete.
   */
  append(body: string, { attempt }: { attempt: string }): void {
    const events = streamEvents.parse(this.path, body);
    if (events === undefined) {
      this.#problem ??= `${attempt} brought "${body}"`;
      return;
    }
    for (const event of events) {
      this.#origin ??= attempt;
      if (event.id !== this.#lastId + 1) {
        this.#problem ??=
          `${attempt} brought event ${event.id} after ${this.#lastId}`;
      }
      this.#lastId = event.id;
      this.#versions.add(event.version);
    }
  }

  toOutcome(): StreamOutcome {
    return {
      path: this.path,
      versions: this.#versions,
      problem: this.#problem,
    };
  }
}

import { streamEvents } from "./stream_events.ts";
import type { StreamOutcome } from "./stream_outcome.ts";

/** The events of one stream, as its caller receives them over several tries. */
export class ReceivedStream {
  readonly path: string;
  readonly #versions = new Set<string>();
  readonly #resumes: StreamOutcome["resumes"][number][] = [];
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

  get isWhole(): boolean {
    return this.#lastId === streamEvents.count;
  }

  /**
   * Appends what a try brought.
   *
   * @param attempted The attempt, its entry, and when it was sent.
   * @param body Text that arrived, whether or not the response was complete.
   */
  append(
    body: string,
    { attempt, entry, sentAt }: {
      attempt: string;
      entry: string;
      sentAt: number;
    },
  ): void {
    const [version] = this.#versions;
    const events = streamEvents.parse(this.path, body);
    if (events === undefined) {
      this.#problem ??= `${attempt} brought "${body}"`;
      return;
    }
    if (this.#origin !== undefined) {
      const wentOn = events.length > 0;
      this.#resumes.push({ entry, sentAt, version: version!, wentOn });
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
      resumes: this.#resumes,
      versions: this.#versions,
      problem: this.#problem,
    };
  }
}

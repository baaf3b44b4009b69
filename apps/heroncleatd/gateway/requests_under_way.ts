import type { Milliseconds } from "@heroncleat/base";

/** A request without a final answer. */
type RequestUnderWay = {
  /** Identifier of its caller's attempt. */
  readonly request: string;
  /** Monotonic time. */
  readonly arrivedAt: Milliseconds;
};

/** The requests of an entry that have no final answer yet. */
export class RequestsUnderWay {
  readonly #requests = new Set<RequestUnderWay>();

  get size(): number {
    return this.#requests.size;
  }

  /** Notes that one arrived; call what it returns when it has ended. */
  add(request: RequestUnderWay): () => void {
    this.#requests.add(request);
    return () => this.#requests.delete(request);
  }

  /** Those that arrived since a monotonic time. */
  listSince(time: Milliseconds): RequestUnderWay[] {
    return [...this.#requests].filter(({ arrivedAt }) => arrivedAt >= time);
  }
}

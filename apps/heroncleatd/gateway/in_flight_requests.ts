import type { Milliseconds } from "@heroncleat/base";

/** A request without a final answer. */
type InFlightRequest = {
  /** Identifier of its caller's attempt. */
  readonly request: string;
  /** Monotonic time. */
  readonly arrivedAt: Milliseconds;
};

/** The requests of an entry that have no final answer yet. */
export class InFlightRequests {
  readonly #requests = new Set<InFlightRequest>();

  get size(): number {
    return this.#requests.size;
  }

  /** Notes that one arrived; call what it returns when it has ended. */
  add(request: InFlightRequest): () => void {
    this.#requests.add(request);
    return () => this.#requests.delete(request);
  }

  /** Those that arrived since a monotonic time. */
  listSince(time: Milliseconds): InFlightRequest[] {
    return [...this.#requests].filter(({ arrivedAt }) => arrivedAt >= time);
  }
}

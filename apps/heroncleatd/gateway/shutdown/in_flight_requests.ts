import type { ServerResponse } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { connectionEnds } from "../responses/connection_ends.ts";
import { EndedBy } from "../responses/ended_by.ts";
import type { RequestProgress } from "./request_progress.ts";

type InFlightRequest = {
  /** Identifier of the caller's attempt. */
  readonly request: string;
  /** Monotonic time. */
  readonly arrivedAt: Milliseconds;
  readonly response: ServerResponse;
  readonly progress: RequestProgress;
};

/**
 * The requests that an entry has received and not yet responded to completely.
 */
export class InFlightRequests {
  readonly #requests = new Set<InFlightRequest>();
  readonly #giveUpListeners = new Set<() => void>();

  get size(): number {
    return this.#requests.size;
  }

  /** Adds a request. Returns a function that removes it. */
  add(request: InFlightRequest): () => void {
    this.#requests.add(request);
    return () => this.#requests.delete(request);
  }

  /**
   * Calls a function once the requests are given up. Returns a function that
   * undoes this.
   */
  onGiveUp(listener: () => void): () => void {
    this.#giveUpListeners.add(listener);
    return () => this.#giveUpListeners.delete(listener);
  }

  /** Ends the requests without a response by one of this entry. */
  giveUp(): void {
    for (const listener of this.#giveUpListeners) {
      listener();
    }
  }

  /**
   * Resets the connections of the responses that were begun. A close would look
   * like the end of those without a length or chunks.
   */
  breakOff(): void {
    for (const { response, progress } of this.#requests) {
      connectionEnds.record(response.socket, EndedBy.shutdown);
      progress.recordUnsent(response.writableLength);
      if (response.headersSent) {
        response.socket?.resetAndDestroy();
      }
    }
  }

  /** Lists the requests that arrived at or after a monotonic time. */
  listSince(time: Milliseconds): InFlightRequest[] {
    return [...this.#requests].filter(({ arrivedAt }) => arrivedAt >= time);
  }
}

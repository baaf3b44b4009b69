import type { Server, ServerResponse } from "node:http";

/**
 * The responses of a server that were ended, but aren't sent completely, as
 * their callers read slowly. Node.js takes their connections for idle ones, so
 * that closing the server or its idle connections would cut them.
 */
export class UnsentResponses {
  readonly #open = new Set<ServerResponse>();

  /** @param server Must not have received requests yet. */
  constructor(server: Server) {
    server.on("request", (_request, response) => {
      this.#open.add(response);
      response.once("close", () => this.#open.delete(response));
    });
  }

  /** Whether there are any. */
  get exist(): boolean {
    for (const { writableEnded, writableFinished } of this.#open) {
      if (writableEnded && !writableFinished) {
        return true;
      }
    }
    return false;
  }
}

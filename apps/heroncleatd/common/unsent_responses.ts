import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * The responses of a server that were ended, but aren't sent completely, as
 * their callers read slowly. Node.js takes their connections for idle ones, so
 * that closing the server or its idle connections would cut them.
 */
export class UnsentResponses {
  readonly #open = new Map<Socket, Set<ServerResponse>>();

  /** @param server Must not have received requests yet. */
  constructor(server: Server) {
    server.on("request", ({ socket }, response) => {
      const ofSocket = this.#open.get(socket) ?? this.#add(socket);
      ofSocket.add(response);
      response.once("close", () => ofSocket.delete(response));
    });
  }

  /** Whether there are any. */
  get exist(): boolean {
    for (const ofSocket of this.#open.values()) {
      for (const { writableEnded, writableFinished } of ofSocket) {
        if (writableEnded && !writableFinished) {
          return true;
        }
      }
    }
    return false;
  }

  #add(socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>();
    this.#open.set(socket, responses);
    // A response that waits behind another one isn't closed with its connection.
    socket.once("close", () => this.#open.delete(socket));
    return responses;
  }
}

import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Metrics } from "./metrics.ts";

type LimitOptions = {
  /** Connections that may be open; asked for each new one. */
  readonly limit: () => number;
  /**
   * Gives up the request whose body has been incomplete for longest. Returns
   * whether there was one; its connection closes behind the response.
   */
  readonly giveUpBody?: () => boolean;
  readonly metrics: Pick<Metrics, "increment">;
  /** Name of the server in metrics. */
  readonly name: string;
};

/**
 * Limits the open connections of an HTTP server, so that the process keeps
 * descriptors for its own ones. At the limit the connection that has been idle
 * for longest makes room for a new one.
 */
export function limitConnections(server: Server, options: LimitOptions): void {
  /** Requests in progress at each open connection. */
  const open = new Map<Socket, number>();
  /** The one that has been idle for longest comes first. */
  const idle = new Set<Socket>();
  const countRequests = (socket: Socket, change: 1 | -1): void => {
    const before = open.get(socket);
    if (before === undefined) {
      return;
    }
    open.set(socket, before + change);
    if (before + change === 0) {
      idle.add(socket);
    } else {
      idle.delete(socket);
    }
  };
  const makeRoom = (newest: Socket): void => {
    const { metrics, name, giveUpBody } = options;
    const [longestIdle] = idle;
    if (longestIdle !== undefined && longestIdle !== newest) {
      metrics.increment(`connections.closed_idle.${name}`);
      longestIdle.destroy();
    } else if (giveUpBody?.() === true) {
      metrics.increment(`connections.closed_body.${name}`);
    } else {
      metrics.increment(`connections.refused.${name}`);
      newest.destroy();
    }
  };
  server.on("connection", (socket) => {
    open.set(socket, 0);
    idle.add(socket);
    socket.once("close", () => {
      open.delete(socket);
      idle.delete(socket);
    });
    if (open.size > options.limit()) {
      makeRoom(socket);
    }
  });
  server.prependListener("request", ({ socket }, response) => {
    countRequests(socket, 1);
    response.once("close", () => countRequests(socket, -1));
  });
}

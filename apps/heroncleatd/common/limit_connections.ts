import type { Server } from "node:http";
import type { Socket } from "node:net";
import { RateLimiter } from "@heroncleat/base";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import { refusedConnections } from "./refused_connections.ts";
import { unparsedConnections } from "./unparsed_connections.ts";

const LINES_PER_SECOND = 1;
const LINE_BURST = 5;

type LimitOptions = {
  /** Connections that may be open; asked for each new one. */
  readonly limit: () => number;
  /**
   * Gives up the request whose body has been incomplete for longest. Returns
   * whether there was one; its connection closes behind the response.
   */
  readonly giveUpBody?: () => boolean;
  readonly metrics: Pick<Metrics, "increment">;
  readonly log: Pick<Log, "warn">;
  /** Name of the server in metrics. */
  readonly name: string;
};

/**
 * Limits the open connections of an HTTP server, so that the process keeps
 * descriptors for its own ones. At the limit the longest idle one makes room.
 * Errors of accepting a connection are logged and counted.
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
  const limiter = new RateLimiter(LINES_PER_SECOND, LINE_BURST);
  const record = (closed: "closed_idle" | "closed_body" | "refused"): void => {
    const { metrics, log, name, limit } = options;
    metrics.increment(`connections.${closed}.${name}`);
    if (limiter.tryConsume(performance.now())) {
      log.warn("Too many connections are open", {
        server: name,
        open: open.size,
        limit: limit(),
        outcome: closed,
      });
    }
  };
  const findIdle = (newest: Socket): Socket | undefined => {
    for (const socket of idle) {
      const isUsed = unparsedConnections.has(socket) &&
        !refusedConnections.has(socket);
      if (socket !== newest && !isUsed) {
        return socket;
      }
    }
    return undefined;
  };
  const makeRoom = (newest: Socket): void => {
    const { giveUpBody } = options;
    const longestIdle = findIdle(newest);
    if (longestIdle !== undefined) {
      record("closed_idle");
      longestIdle.destroy();
    } else if (giveUpBody?.() === true) {
      record("closed_body");
    } else {
      record("refused");
      newest.destroy();
    }
  };
  server.on("error", ({ message }) => {
    // Whoever starts the server handles an error of that.
    if (!server.listening) {
      return;
    }
    const { metrics, log, name } = options;
    metrics.increment(`connections.not_accepted.${name}`);
    if (limiter.tryConsume(performance.now())) {
      log.warn(
        "Can't accept a connection. Remedy: allow the process more " +
          "descriptors.",
        { server: name, open: open.size, error: message },
      );
    }
  });
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

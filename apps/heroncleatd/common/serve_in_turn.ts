import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";

type Arrival = {
  /** Monotonic time. */
  readonly arrivedAt: Milliseconds;
};

type Handler<Result> = (
  incoming: IncomingMessage,
  response: ServerResponse,
  arrival: Arrival,
) => Result;

type Options = {
  readonly clock: Pick<Clock, "steady">;
  /**
   * Called for each request that waits for others. Returns a function that is
   * called once it is handled, or its connection has ended.
   */
  readonly onWaiting?: Handler<() => void>;
  /** Whether connections close behind the last of their requests. */
  readonly isClosing?: () => boolean;
};

type WaitingRequest = {
  readonly begin: () => void;
  readonly release: () => void;
};

/** A connection that is in use. */
type Connection = {
  readonly waiting: WaitingRequest[];
  /** The current response, if the connection is to close behind it. */
  last: ServerResponse | undefined;
};

/**
 * Wraps a handler so that it gets the requests of each connection one after the
 * other. Their responses are sent in that order anyway, and those behind the
 * first would only hold what they need.
 */
export function serveInTurn(
  handle: Handler<void>,
  { clock, onWaiting = () => () => {}, isClosing = () => false }: Options,
): (incoming: IncomingMessage, response: ServerResponse) => void {
  const connections = new WeakMap<object, Connection>();
  return (incoming, response) => {
    const { socket } = incoming;
    const arrival = { arrivedAt: clock.steady() };
    const begin = (connection: Connection) => {
      response.once("close", () => {
        // No response follows one that ended the connection.
        if (socket.destroyed || socket.writableEnded) {
          releaseAll(connection);
        }
        const next = connection.waiting.shift();
        if (next === undefined) {
          connections.delete(socket);
          return;
        }
        next.begin();
        next.release();
      });
      const isLast = connection.waiting.length === 0 && isClosing() &&
        response.shouldKeepAlive;
      connection.last = isLast ? response : undefined;
      response.shouldKeepAlive &&= !isLast;
      handle(incoming, response, arrival);
    };
    const connection = connections.get(socket);
    if (connection === undefined) {
      const added: Connection = { waiting: [], last: undefined };
      connections.set(socket, added);
      begin(added);
      return;
    }
    keepOpen(connection);
    connection.waiting.push({
      begin: () => begin(connection),
      release: onWaiting(incoming, response, arrival),
    });
  };
}

function releaseAll({ waiting }: Connection): void {
  for (const { release } of waiting.splice(0)) {
    release();
  }
}

/** Lets another request follow, unless the caller was told otherwise. */
function keepOpen({ last }: Connection): void {
  if (last?.headersSent === false) {
    last.shouldKeepAlive = true;
  }
}

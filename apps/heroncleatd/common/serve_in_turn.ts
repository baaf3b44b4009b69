import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";

type Handler = (
  incoming: IncomingMessage,
  response: ServerResponse,
  /** Monotonic time. */
  arrival: { readonly arrivedAt: Milliseconds },
) => void;

/**
 * Wraps a handler so that it gets the requests of each connection one after the
 * other. Their responses are sent in that order anyway, and those behind the
 * first would only hold what they need.
 */
export function serveInTurn(
  handle: Handler,
  clock: Pick<Clock, "steady">,
): (incoming: IncomingMessage, response: ServerResponse) => void {
  /** Requests that wait, by the connection that is in use. */
  const waiting = new WeakMap<object, (() => void)[]>();
  return (incoming, response) => {
    const { socket } = incoming;
    const arrivedAt = clock.steady();
    const begin = () => {
      response.once("close", () => {
        // No response follows one that ended the connection.
        const next = socket.destroyed || socket.writableEnded
          ? undefined
          : waiting.get(socket)?.shift();
        if (next === undefined) {
          waiting.delete(socket);
        } else {
          next();
        }
      });
      handle(incoming, response, { arrivedAt });
    };
    const others = waiting.get(socket);
    if (others === undefined) {
      waiting.set(socket, []);
      begin();
    } else {
      others.push(begin);
    }
  };
}

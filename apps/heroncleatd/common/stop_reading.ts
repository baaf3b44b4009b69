import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "@heroncleat/base";

/**
 * Reads nothing more of a request's connection, and closes it behind the
 * response, which must not have been sent yet. Closing it at once would reset
 * it, as bytes of the caller are unread, and the caller might lose the response.
 *
 * @param options.closeDelay Time after the response until the connection is
 *     closed if the caller hasn't closed it.
 */
export function stopReading(
  incoming: IncomingMessage,
  { response, closeDelay }: {
    response: ServerResponse;
    closeDelay: Milliseconds;
  },
): void {
  const { socket } = incoming;
  response.shouldKeepAlive = false;
  // Node reads and drops the rest of a body that nobody has begun to read.
  incoming.read(0);
  incoming.pause();
  socket.pause();
  // Node calls this behind the last response of a connection.
  socket.destroySoon = () => {
    socket.end();
    const timer = setTimeout(() => socket.destroy(), closeDelay);
    timer.unref();
    socket.once("close", () => clearTimeout(timer));
  };
}

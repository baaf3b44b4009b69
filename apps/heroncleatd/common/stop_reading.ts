import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "@heroncleat/base";

/**
 * Reads nothing more of a connection and closes it some time behind its next
 * response. Closing at once would reset it, and the caller might lose that.
 *
 * @param options.closeDelay Time for the caller to close it first.
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

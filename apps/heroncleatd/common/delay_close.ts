import type { Socket } from "node:net";
import type { Milliseconds } from "@heroncleat/base";

/**
 * Delays the close of a connection behind its last response. Closing it while
 * bytes are unread would reset it, and the caller might lose that response.
 *
 * @param delay Time for the caller to close it first.
 */
export function delayClose(socket: Socket, delay: Milliseconds): void {
  // Node calls this behind the last response of a connection.
  socket.destroySoon = () => {
    socket.end();
    const timer = setTimeout(() => socket.destroy(), delay);
    timer.unref();
    socket.once("close", () => clearTimeout(timer));
  };
}

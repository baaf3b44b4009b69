import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "@heroncleat/base";

/** Time in which a caller may send the rest of a body that was refused. */
const DISCARD_TIME: Milliseconds = 2000;

/**
 * Reads and drops the rest of a caller's body, so that the caller gets the
 * response and may use the connection again. Closes the connection of one that
 * sends for too long.
 */
export function discardRequestBody(incoming: IncomingMessage): void {
  const { socket } = incoming;
  const timer = setTimeout(() => socket.destroySoon(), DISCARD_TIME);
  timer.unref();
  incoming.once("close", () => clearTimeout(timer));
  incoming.resume();
}

import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "@heroncleat/base";

/** Time in which a caller may send the rest of a body that was refused. */
const DISCARD_TIME: Milliseconds = 2000;

/**
 * Reads and drops the rest of a caller's body. Resolves once it has ended, or
 * after a time. A connection that is closed before is reset, and its caller may
 * not get the response.
 */
export function discardRequestBody(incoming: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      incoming.socket.destroySoon();
      resolve();
    }, DISCARD_TIME);
    timer.unref();
    const settle = () => {
      clearTimeout(timer);
      resolve();
    };
    incoming.once("end", settle);
    incoming.once("close", settle);
    incoming.resume();
  });
}

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { delayClose } from "./delay_close.ts";

/**
 * Reads nothing more of a connection and closes it some time behind its next
 * response.
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
  delayClose(socket, closeDelay);
}

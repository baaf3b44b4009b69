import type { ServerResponse } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { byteLimits } from "./byte_limits.ts";
import { delayClose } from "./delay_close.ts";

/** Time in which the caller can read the response before a reset. */
const LINGER_TIME: Milliseconds = 2000;

/**
 * Makes a response the last one of its connection and drops what still arrives.
 * Must be called before the head is written.
 */
export function closeLingering(response: ServerResponse): void {
  const { socket } = response.req;
  response.setHeader("connection", "close");
  let droppedBytes = 0;
  // Without the parser's listener nothing is parsed.
  socket.removeAllListeners("data");
  socket.on("data", (bytes: Buffer) => {
    droppedBytes += bytes.length;
    if (droppedBytes > byteLimits.discarded) {
      socket.pause();
    }
  });
  socket.resume();
  delayClose(socket, LINGER_TIME);
}

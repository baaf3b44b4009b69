import type { ServerResponse } from "node:http";
import type { Milliseconds } from "@heroncleat/base";

/** Longest time that a caller gets to read what was sent before. */
const FLUSH_TIMEOUT: Milliseconds = 500;
/**
 * Time between the last bytes and the reset. A reset discards what the caller
 * hasn't received, and readers built on libuv take one that arrives together
 * with bytes for an orderly end.
 */
const RESET_DELAY: Milliseconds = 20;

/**
 * Resets the connection of a response that was begun, so that it doesn't look
 * complete however it is framed. What was written is sent before. Resolves once
 * the connection is closed.
 */
export function breakOffResponse(response: ServerResponse): Promise<void> {
  const { socket } = response;
  if (socket === null || socket.destroyed) {
    response.destroy();
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    let timer = setTimeout(() => socket.resetAndDestroy(), FLUSH_TIMEOUT);
    socket.once("close", () => {
      clearTimeout(timer);
      resolve();
    });
    socket.write("", () => {
      clearTimeout(timer);
      timer = setTimeout(() => socket.resetAndDestroy(), RESET_DELAY);
    });
  });
}

import type { ServerResponse } from "node:http";

/**
 * Sends what is written to a response during this iteration of the event loop
 * by one system call. The head and the first event of a stream often arrive
 * together, and so do its last event and its end.
 */
export function writeTogether({ socket }: ServerResponse): void {
  if (socket === null || socket.writableCorked > 0) {
    return;
  }
  socket.cork();
  setImmediate(() => socket.uncork());
}

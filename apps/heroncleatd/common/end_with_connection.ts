import type { ServerResponse } from "node:http";

/**
 * Makes a response end with its connection, without a length or chunks. Must be
 * called before the head is written.
 */
export function endWithConnection(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  // Node omits the chunks of a response whose header was removed.
  response.removeHeader("Transfer-Encoding");
}

import type { ServerResponse } from "node:http";

/**
 * Sends a JSON response unless one has been sent or the connection is closed.
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

import type { ServerResponse } from "node:http";
import { closeLingering } from "./close_lingering.ts";
import { hasUnreadBody } from "./has_unread_body.ts";

/**
 * Sends a JSON response unless one has been sent or the connection is closed.
 * The rest of a body that hasn't arrived isn't read.
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  if (hasUnreadBody(response.req)) {
    closeLingering(response);
  }
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

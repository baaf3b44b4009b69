import type { ServerResponse } from "node:http";
import type { LocalResponse } from "./local_response.ts";

/**
 * Sends a response that the entry created, unless one was sent already.
 *
 * @param endAfter The connection stays open until then, if the caller asked to
 *     close it behind the response.
 */
export function sendLocalResponse(
  response: ServerResponse,
  localResponse: LocalResponse,
  { endAfter }: { endAfter?: Promise<void> | undefined } = {},
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const body = JSON.stringify({ error: localResponse.message });
  const headers: Record<string, string> = {
    "Content-Type": "application/json",
    "Content-Length": String(Buffer.byteLength(body)),
  };
  if (localResponse.retryAfter !== undefined) {
    // Rounded up, so that nobody returns too early.
    const hundredths = Math.ceil(localResponse.retryAfter / 10);
    headers["Retry-After"] = (hundredths / 100).toFixed(2);
  }
  response.writeHead(localResponse.status, headers);
  if (endAfter === undefined) {
    response.end(body);
    return;
  }
  response.write(body);
  void endAfter.then(() => response.end());
}

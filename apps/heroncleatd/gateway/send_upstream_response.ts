import type { IncomingMessage, ServerResponse } from "node:http";

/** Sends an upstream's complete response, unless one was sent already. */
export function sendUpstreamResponse(
  response: ServerResponse,
  upstreamResponse: {
    message: IncomingMessage;
    headers: string[];
    body: Buffer;
  },
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const { message, headers, body } = upstreamResponse;
  const status = message.statusCode!;
  const isBodiless = status === 204 || status === 304;
  const length = isBodiless ? [] : ["Content-Length", String(body.length)];
  response.writeHead(status, [...headers, ...length]);
  response.end(body);
}

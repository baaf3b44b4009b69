import type { IncomingMessage } from "node:http";

/**
 * Whether a request has a body that isn't complete yet. A request without one
 * isn't complete either while its first listeners run.
 */
export function hasUnreadBody(
  { complete, headers }: Pick<IncomingMessage, "complete" | "headers">,
): boolean {
  const hasBody = headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
  return hasBody && !complete;
}

import type { IncomingMessage } from "node:http";

/**
 * Whether the identifier of the attempt is sent once. Without it, the response
 * of an upstream can't be matched to the request.
 */
export function namesOneAttempt(
  incoming: IncomingMessage,
  header: string,
): boolean {
  const values = incoming.headersDistinct[header.toLowerCase()] ?? [];
  return values.length === 1 && values[0] !== "";
}

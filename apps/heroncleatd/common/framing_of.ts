import type { IncomingMessage } from "node:http";
import { ResponseFraming } from "./response_framing.ts";

/**
 * Determines the framing of a response.
 *
 * @param method Method of the request.
 */
export function framingOf(
  message: Pick<IncomingMessage, "statusCode" | "headers">,
  method: string,
): ResponseFraming {
  const { headers } = message;
  const status = message.statusCode ?? 0;
  if (method === "HEAD" || status < 200 || status === 204 || status === 304) {
    return ResponseFraming.bodiless;
  }
  const encoding = headers["transfer-encoding"];
  if (encoding !== undefined) {
    return /\bchunked$/i.test(encoding.trim())
      ? ResponseFraming.chunked
      : ResponseFraming.connectionEnd;
  }
  return headers["content-length"] === undefined
    ? ResponseFraming.connectionEnd
    : ResponseFraming.length;
}

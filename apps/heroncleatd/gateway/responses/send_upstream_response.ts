import type { IncomingMessage, ServerResponse } from "node:http";
import { endWithConnection } from "../../common/end_with_connection.ts";
import { framingOf } from "../../common/framing_of.ts";
import { endResponse } from "./end_response.ts";
import { ResponseFraming } from "../../common/response_framing.ts";

/**
 * Sends an upstream's complete response, unless one was sent already. It gets a
 * length only if the upstream's framing told that it is complete. Resolves once
 * the caller has room for all of it.
 */
export async function sendUpstreamResponse(
  response: ServerResponse,
  upstreamResponse: {
    message: IncomingMessage;
    headers: string[];
    body: Buffer;
  },
): Promise<void> {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const { message, headers, body } = upstreamResponse;
  const status = message.statusCode!;
  const framing = framingOf(message, response.req.method ?? "");
  const length = lengthOf(message, { framing, body });
  if (framing === ResponseFraming.connectionEnd) {
    endWithConnection(response);
  }
  response.writeHead(
    status,
    length === undefined ? headers : [...headers, "Content-Length", length],
  );
  await endResponse(response, body);
}

function lengthOf(
  message: IncomingMessage,
  { framing, body }: { framing: ResponseFraming; body: Buffer },
): string | undefined {
  switch (framing) {
    case ResponseFraming.bodiless:
      // What the body would have, which only the upstream knows.
      return message.headers["content-length"];
    case ResponseFraming.connectionEnd:
      return undefined;
    default:
      return String(body.length);
  }
}

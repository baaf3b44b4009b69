import type { ServerResponse } from "node:http";
import { endWithConnection } from "../../common/end_with_connection.ts";
import { ResponseFraming } from "../../common/response_framing.ts";
import type { AttemptResult } from "../attempts/attempt_result.ts";
import type { CallerRequest } from "../caller_request.ts";
import { forwardHeaders } from "../forward_headers.ts";
import { relayResponseHeaders } from "../relay/relay_response_headers.ts";
import { writeTogether } from "../responses/write_together.ts";

/** Sends the head of an upstream's event stream to the caller at once. */
export function sendStreamHead(
  response: ServerResponse,
  { call, result }: {
    call: CallerRequest;
    result: Extract<AttemptResult, { kind: "head" }>;
  },
): void {
  const { message, framing, version, upstream } = result;
  writeTogether(response);
  if (framing === ResponseFraming.connectionEnd) {
    endWithConnection(response);
  }
  const headers = [
    ...forwardHeaders.toCaller(message.rawHeaders),
    ...relayResponseHeaders(call, { upstream, version: version() }),
  ];
  response.writeHead(message.statusCode!, headers);
  response.flushHeaders();
}

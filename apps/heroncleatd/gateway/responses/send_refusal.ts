import type { ServerResponse } from "node:http";
import type { CallerRequest } from "../caller_request.ts";
import type { HeaderNames } from "../header_names.ts";
import type { LocalResponse } from "./local_response.ts";
import { relayHeaders } from "../relay/relay_headers.ts";
import { sendLocalResponse } from "./send_local_response.ts";

/**
 * Responds to a request that got no response from an upstream. An entry that
 * passed it on is told whether it may ask another one.
 */
export function sendRefusal(
  response: ServerResponse,
  localResponse: LocalResponse,
  { call, names }: {
    call: Pick<CallerRequest, "attempt" | "relayedBy">;
    names: HeaderNames;
  },
): void {
  const { refusal } = localResponse;
  const isForEntry = call.relayedBy !== undefined && refusal !== undefined;
  if (isForEntry && !response.headersSent) {
    response.setHeader(names.attempt, call.attempt);
    response.setHeader(names.notRun, "1");
    response.setHeader(relayHeaders.refusal, refusal);
    if (localResponse.wasSent === true) {
      response.setHeader(relayHeaders.wasSent, "1");
    }
  }
  sendLocalResponse(response, localResponse);
}

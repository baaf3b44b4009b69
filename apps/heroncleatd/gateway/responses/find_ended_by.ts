import type { ServerResponse } from "node:http";
import type { CallerRequest } from "../caller_request.ts";
import { connectionEnds } from "./connection_ends.ts";
import { EndedBy } from "./ended_by.ts";

/**
 * Finds what ended a request that wasn't answered.
 *
 * @param options.lastAttempt What ended its last attempt, if that was begun.
 */
export function findEndedBy(
  { signal }: CallerRequest,
  { response, lastAttempt }: {
    response: ServerResponse;
    lastAttempt: EndedBy | undefined;
  },
): EndedBy | undefined {
  if (!signal.aborted) {
    return lastAttempt;
  }
  switch (signal.reason) {
    case "caller_left":
      return connectionEnds.find(response.socket);
    case "shutting_down":
      return EndedBy.shutdown;
    default:
      return EndedBy.deadline;
  }
}

import type { RequestBody } from "./read_request_body.ts";
import { errorResponse } from "./responses/error_response.ts";
import type { LocalResponse } from "./responses/local_response.ts";

/**
 * Returns the response to a request whose body wasn't read; it has not run.
 *
 * @param limit Largest body, in bytes.
 */
export function bodyRefusal(
  body: Exclude<RequestBody, { kind: "complete" | "broken" }>,
  limit: number,
): LocalResponse {
  switch (body.kind) {
    case "no_room":
      return errorResponse.noRoomForBody(body.retryAfter);
    case "late":
      return errorResponse.lateBody();
    case "leaving":
      return errorResponse.shuttingDown();
    case "fragmented":
      return errorResponse.fragmentedBody();
    case "too_large":
      return errorResponse.tooLargeBody(limit);
  }
}

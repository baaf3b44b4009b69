import type { Milliseconds } from "@heroncleat/base";
import type { LocalResponse } from "../responses/local_response.ts";
import { retryAfterLimits } from "./retry_after_limits.ts";

/**
 * Creates the response to a request whose workspace has used up its quota.
 *
 * @param wait Time until the request could be charged.
 */
export function overQuotaResponse(wait: Milliseconds): LocalResponse {
  return {
    status: 429,
    message: "The workspace's quota is used up; the request has not run. " +
      "Remedy: retry after the time in Retry-After.",
    retryAfter: Math.min(
      retryAfterLimits.max,
      Math.max(retryAfterLimits.min, wait),
    ),
  };
}

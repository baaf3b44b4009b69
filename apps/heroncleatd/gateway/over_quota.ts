import type { Milliseconds } from "@heroncleat/base";
import type { OwnAnswer } from "./own_answer.ts";
import { retryAfter } from "./retry_after.ts";

/**
 * What a caller gets whose workspace has used its quota up.
 *
 * @param wait Time until the request could be charged.
 */
export function overQuota(wait: Milliseconds): OwnAnswer {
  return {
    status: 429,
    message: "The workspace's quota is used up; the request has not run. " +
      "Remedy: send it again after the stated time.",
    retryAfter: Math.min(
      retryAfter.most,
      Math.max(retryAfter.least, wait),
    ),
  };
}

import { createFault, type Fault } from "@heroncleat/base";
import { SuspectStatus } from "@heroncleat/serving";
import type { SuspectWatcher } from "../common/suspect_watcher.ts";
import type { RequestIdentity } from "../common/request_identity.ts";

const RETRY_AFTER_MS = 700;

/**
 * Returns the fault for a request that crashed upstreams and must not be sent
 * now.
 */
export function findSuspectFault(
  crashes: SuspectWatcher,
  request: RequestIdentity,
): Fault | undefined {
  const status = crashes.status(request);
  if (status === SuspectStatus.rejected) {
    const part = crashes.findRejectedPart(request);
    const subject = part === undefined
      ? "this request"
      : `requests with one of its messages (${part})`;
    return createFault(
      "bad_request",
      `Several upstreams crashed while running ${subject}, so it isn't ` +
        "sent to any more. Remedy: change the request, or send it again some " +
        "time after the upstreams were repaired.",
    );
  }
  if (status === SuspectStatus.single && crashes.isInFlight(request)) {
    return createFault(
      "overloaded",
      "Upstreams crashed while running this request, and another copy of it " +
        "is in flight. Remedy: retry after the time in Retry-After.",
      { retryAfter: RETRY_AFTER_MS },
    );
  }
  return undefined;
}

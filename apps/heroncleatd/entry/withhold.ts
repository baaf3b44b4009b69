import { createFault, type Fault } from "@heroncleat/base";
import { SuspectStatus } from "@heroncleat/serving";
import type { SuspectWatcher } from "../common/suspect_watcher.ts";
import type { RequestIdentity } from "../common/request_identity.ts";

const RETRY_AFTER = 700;

/** Why a request isn't sent on, or not now, where upstreams ended under it. */
export function withhold(
  crashes: SuspectWatcher,
  request: RequestIdentity,
): Fault | undefined {
  const standing = crashes.status(request);
  if (standing === SuspectStatus.rejected) {
    return createFault(
      "bad_request",
      "Several upstreams ended while they ran this very request, so it isn't " +
        "sent to any more. Remedy: change the request, or send it again some " +
        "time after the upstreams were mended.",
    );
  }
  if (standing === SuspectStatus.single && crashes.isInFlight(request)) {
    return createFault(
      "overloaded",
      "Upstreams ended while they ran this very request, and another copy of " +
        "it is under way. Remedy: come back after Retry-After.",
      { retryAfter: RETRY_AFTER },
    );
  }
  return undefined;
}

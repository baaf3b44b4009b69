import { createFault, type Fault } from "@heroncleat/base";
import { SuspectStatus } from "@heroncleat/serving";
import type { CrashWatch } from "../common/crash_watch.ts";
import type { RequestIdentity } from "../common/request_identity.ts";

const RETRY_AFTER_MS = 700;

/** Why a request isn't sent on, or not now, where upstreams ended under it. */
export function findSuspectFault(
  crashes: CrashWatch,
  request: RequestIdentity,
): Fault | undefined {
  const status = crashes.standing(request);
  if (status === SuspectStatus.rejected) {
    return createFault(
      "bad_request",
      "Several upstreams ended while they ran this very request, so it isn't " +
        "sent to any more. Remedy: change the request, or send it again some " +
        "time after the upstreams were mended.",
    );
  }
  if (status === SuspectStatus.single && crashes.isUnderWay(request)) {
    return createFault(
      "overloaded",
      "Upstreams ended while they ran this very request, and another copy of " +
        "it is under way. Remedy: come back after Retry-After.",
      { retryAfter: RETRY_AFTER_MS },
    );
  }
  return undefined;
}

import type { AdmissionRequest } from "@heroncleat/admission";
import { createFault } from "@heroncleat/base";
import type { RoutedRequest } from "@heroncleat/routing";
import type { Actor } from "../common/actor.ts";
import type { AdmissionResult } from "./admission_result.ts";
import type { DispatchMessage } from "./dispatch_message.ts";

/**
 * Resolves when admission control admits or refuses the request, possibly after
 * queueing.
 */
export function admit(
  dispatch: Actor<DispatchMessage>,
  options: {
    request: AdmissionRequest;
    target: Pick<RoutedRequest, "model" | "service">;
  },
): Promise<AdmissionResult> {
  return new Promise((resolve) => {
    const sent = dispatch.send({
      kind: "admit",
      ...options,
      reply: resolve,
    });
    if (!sent) {
      resolve({
        kind: "refused",
        fault: createFault(
          "overloaded",
          "This entry is overloaded. Remedy: retry after the time in Retry-After.",
          { retryAfter: 1000 },
        ),
      });
    }
  });
}

import type { AdmissionRequest } from "@heroncleat/admission";
import { createFault } from "@heroncleat/base";
import type { RoutedRequest } from "@heroncleat/routing";
import type { Actor } from "../common/actor.ts";
import type { AdmissionResult } from "./admission_result.ts";
import type { DispatchMessage } from "./dispatch_message.ts";

/** Asks whether a request may run, and waits in the queue if it must. */
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
          "This entry is overloaded. Remedy: come back after Retry-After.",
          { retryAfter: 1000 },
        ),
      });
    }
  });
}

import type { ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import type { AppliedDocument } from "../applied_document.ts";
import type { HeaderNames } from "../header_names.ts";
import type { RequestProgress } from "../shutdown/request_progress.ts";
import { breakOffResponse } from "./break_off_response.ts";
import { errorResponse } from "./error_response.ts";
import { recordCutRequest } from "./record_cut_request.ts";
import { sendRefusal } from "./send_refusal.ts";

type FailedRequest = {
  /** Identifier of the caller's attempt. */
  readonly request: string;
  /** Name of the entry that passed it on; undefined if a caller sent it. */
  readonly relayedBy: string | undefined;
  /** Monotonic time. */
  readonly arrivedAt: Milliseconds;
  readonly progress: RequestProgress;
  readonly response: ServerResponse;
  readonly error: Error;
};

/**
 * Ends a request that failed inside this entry, and logs it. Its caller learns
 * whether it may have run, unless a response was begun, which is broken off.
 */
export async function endFailedRequest(
  failed: FailedRequest,
  context: {
    log: Log;
    metrics: Metrics;
    clock: Pick<Clock, "steady">;
    appliedDocument: () => AppliedDocument;
    names: HeaderNames;
  },
): Promise<void> {
  const { request, relayedBy, progress, response } = failed;
  recordCutRequest({
    ...failed,
    details: {
      upstream: progress.chosen,
      wasSent: progress.wasSent ? 1 : 0,
    },
  }, context);
  if (response.writableEnded) {
    return;
  }
  if (response.headersSent || response.destroyed) {
    await breakOffResponse(response);
    return;
  }
  sendRefusal(response, errorResponse.failed(progress.wasSent), {
    call: { attempt: request, relayedBy },
    names: context.names,
  });
}

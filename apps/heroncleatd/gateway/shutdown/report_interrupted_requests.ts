import type { Clock, Milliseconds } from "@heroncleat/base";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import type { AppliedDocument } from "../applied_document.ts";
import { recordCutRequest } from "../responses/record_cut_request.ts";
import type { InFlightRequests } from "./in_flight_requests.ts";

/** Interrupted requests that one log line lists. */
const MAX_LOGGED_REQUESTS = 5;
/** Interrupted requests that get a line of their own. */
const MAX_LINES = 50;

/**
 * Logs the requests still in flight at the end of the grace period. The process
 * exits before they end by themselves.
 *
 * @param stoppedAt Monotonic time at which the shutdown began.
 */
export function reportInterruptedRequests(
  inFlight: InFlightRequests,
  stoppedAt: Milliseconds,
  options: {
    log: Log;
    metrics: Metrics;
    clock: Pick<Clock, "steady">;
    appliedDocument: () => AppliedDocument;
  },
): void {
  if (inFlight.size === 0) {
    return;
  }
  const { log, metrics } = options;
  for (const request of inFlight.listSince(-Infinity).slice(0, MAX_LINES)) {
    recordCutRequest(request, options);
  }
  const receivedAfterStop = inFlight.listSince(stoppedAt);
  metrics.increment("gateway.cut_by_stop", inFlight.size);
  const described = receivedAfterStop.slice(0, MAX_LOGGED_REQUESTS).map((
    { request, arrivedAt },
  ) => `${request} received after ${Math.round(arrivedAt - stoppedAt)} ms`);
  log.warn(
    "Closing connections of requests in flight; the grace period is over",
    {
      underWay: inFlight.size,
      takenWhileLeaving: receivedAfterStop.length,
      requests: described.join(", "),
    },
  );
}

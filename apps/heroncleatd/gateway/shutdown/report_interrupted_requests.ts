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
 * @param options.listensSince Monotonic time since which callers are served.
 */
export function reportInterruptedRequests(
  inFlight: InFlightRequests,
  stoppedAt: Milliseconds,
  options: {
    log: Log;
    metrics: Metrics;
    clock: Pick<Clock, "steady">;
    appliedDocument: () => AppliedDocument;
    listensSince: Milliseconds;
  },
): void {
  if (inFlight.size === 0) {
    return;
  }
  const { log, metrics, listensSince } = options;
  const interrupted = inFlight.listSince(-Infinity);
  for (const request of interrupted.slice(0, MAX_LINES)) {
    recordCutRequest({
      ...request,
      details: {
        arrivedAt: Math.round(request.arrivedAt - stoppedAt),
        ...request.progress.describe(stoppedAt),
        listenedFor: Math.round(stoppedAt - listensSince),
      },
    }, options);
  }
  const receivedAfterStop = inFlight.listSince(stoppedAt);
  const before = interrupted.length - receivedAfterStop.length;
  const upstreamEnded = interrupted.filter(({ progress }) =>
    progress.hasUpstreamEnded
  );
  metrics.increment("gateway.cut_by_stop", interrupted.length);
  metrics.increment("gateway.cut_by_stop.before_signal", before);
  metrics.increment(
    "gateway.cut_by_stop.after_signal",
    receivedAfterStop.length,
  );
  metrics.increment("gateway.cut_by_stop.upstream_ended", upstreamEnded.length);
  const described = receivedAfterStop.slice(0, MAX_LOGGED_REQUESTS).map((
    { request, arrivedAt },
  ) => `${request} received after ${Math.round(arrivedAt - stoppedAt)} ms`);
  log.warn(
    "Closing connections of requests in flight; the grace period is over",
    {
      underWay: inFlight.size,
      takenWhileLeaving: receivedAfterStop.length,
      upstreamEnded: upstreamEnded.length,
      requests: described.join(", "),
    },
  );
}

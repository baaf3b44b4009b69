import type { Milliseconds } from "@heroncleat/base";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import type { InFlightRequests } from "./in_flight_requests.ts";

/** Interrupted requests that one log line lists. */
const MAX_LOGGED_REQUESTS = 5;

/**
 * Logs the requests still in flight at the end of the grace period.
 *
 * @param stoppedAt Monotonic time at which the shutdown began.
 */
export function reportInterruptedRequests(
  inFlight: InFlightRequests,
  stoppedAt: Milliseconds,
  { log, metrics }: { log: Log; metrics: Metrics },
): void {
  if (inFlight.size === 0) {
    return;
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

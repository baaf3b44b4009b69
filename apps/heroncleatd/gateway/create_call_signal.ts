import type { ServerResponse } from "node:http";
import type { InFlightRequests } from "./shutdown/in_flight_requests.ts";
import { type Clock, type Milliseconds, timerDelay } from "@heroncleat/base";

/**
 * Creates the signal of a request. It aborts with `time_up` at the deadline,
 * `caller_left` if the connection closes before the response ends,
 * `shutting_down` when this entry gives up requests, and `failed` by `abandon`.
 *
 * @param options.deadline Monotonic time.
 */
export function createCallSignal(
  response: ServerResponse,
  options: {
    deadline: Milliseconds;
    clock: Pick<Clock, "steady">;
    inFlight: Pick<InFlightRequests, "onGiveUp">;
  },
): { signal: AbortSignal; release: () => void; abandon: () => void } {
  const { deadline, clock, inFlight } = options;
  const abort = new AbortController();
  let immediate: NodeJS.Immediate | undefined;
  // After a pause of the process, timers run before a response is read that has
  // arrived in time.
  const timer = setTimeout(() => {
    immediate = setImmediate(() => abort.abort("time_up"));
  }, timerDelay(deadline - clock.steady()));
  const abortOnClose = () => {
    if (!response.writableFinished) {
      abort.abort("caller_left");
    }
  };
  response.once("close", abortOnClose);
  if (response.destroyed) {
    // The connection closed before, for example while the quota was charged.
    abortOnClose();
  }
  const stopListening = inFlight.onGiveUp(() => {
    // What has begun may still complete until the process exits.
    if (!response.headersSent) {
      abort.abort("shutting_down");
    }
  });
  const release = () => {
    clearTimeout(timer);
    clearImmediate(immediate);
    stopListening();
  };
  const abandon = () => {
    release();
    abort.abort("failed");
  };
  return { signal: abort.signal, release, abandon };
}

import { CONNECT_TIMEOUT_REASON } from "../../common/connect_timeout_reason.ts";
import { CONNECTION_REFUSED } from "../../common/connection_refused.ts";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";
import type { UpstreamResponse } from "../upstreams/upstream_response.ts";
import { isStatus } from "./is_status.ts";

/**
 * Another upstream instance has taken over the address, so the chosen one no
 * longer runs.
 */
const MISDIRECTED_REQUEST = "status 421";

/**
 * Records what a failed attempt says about its upstream: nothing while this
 * entry reaches none.
 */
export function recordFailure(
  response: Extract<UpstreamResponse, { kind: "not_run" | "unknown" }>,
  { context, call, upstream }: {
    context: ForwardContext;
    call: CallerRequest;
    upstream: string;
  },
): void {
  const { choice, clock, crashes, directory, reachability } = context;
  const { reason } = response;
  if (reachability.isCutOff(call.service)) {
    return;
  }
  if (reason === CONNECT_TIMEOUT_REASON) {
    // A sound upstream may be silent for a second.
    choice.avoid(upstream, clock.steady());
  } else if (!call.signal.aborted && !isStatus(reason)) {
    choice.pause(upstream, clock.steady());
    const isBroken = response.kind === "unknown" && response.isBroken;
    if (isBroken || reason === CONNECTION_REFUSED) {
      context.reportFailure(upstream);
    }
  }
  if (reason === MISDIRECTED_REQUEST) {
    directory.remove(upstream, clock.steady());
  }
  if (reason === MISDIRECTED_REQUEST || reason === CONNECTION_REFUSED) {
    crashes.recordCrash(upstream);
  }
}

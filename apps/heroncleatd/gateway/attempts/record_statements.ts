import type { Milliseconds } from "@heroncleat/base";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";
import type { UpstreamResponse } from "../upstreams/upstream_response.ts";

/** Records what the response, if there is one, states about its upstream. */
export function recordStatements(
  response: UpstreamResponse,
  { context, call, upstream, sentAt }: {
    context: ForwardContext;
    call: CallerRequest;
    upstream: string;
    sentAt: Milliseconds;
  },
): void {
  const message = response.kind === "head" || response.kind === "not_run"
    ? response.message
    : undefined;
  // Another instance at the same address responds with 421.
  if (message === undefined || message.statusCode === 421) {
    return;
  }
  const { socket } = message;
  context.statementWatcher.recordResponse(upstream, {
    status: message.statusCode!,
    headers: message.headersDistinct,
    isNotRun: response.kind === "not_run",
    sentAt,
    request: call.attempt,
    isConnected: () => socket?.destroyed === false,
  });
}

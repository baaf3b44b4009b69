import type { IncomingMessage } from "node:http";
import { EndlessBytes } from "../../common/endless_bytes.ts";
import { EndlessShape } from "../../common/endless_shape.ts";
import { reportEndless } from "../../common/report_endless.ts";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";
import { EndedBy } from "../responses/ended_by.ts";
import type { UpstreamResponse } from "../upstreams/upstream_response.ts";
import type { AttemptTrace } from "./attempt_trace.ts";

/**
 * Reports a response that exceeds a limit, in its head or, as soon as that
 * happens, in its body.
 *
 * @param options.onExceeded Called when the body exceeded it.
 */
export function watchLimits(
  response: UpstreamResponse,
  { context, call, trace, upstream, onExceeded }: {
    context: ForwardContext;
    call: CallerRequest;
    trace: AttemptTrace;
    upstream: string;
    onExceeded: () => void;
  },
): void {
  const report = (error: EndlessBytes) => {
    trace.recordEndedBy(EndedBy.limit);
    reportEndless(error, { ...context, request: call.attempt, upstream });
  };
  if (response.kind === "unknown" && response.exceeded !== undefined) {
    report(response.exceeded);
  }
  const message = messageOf(response);
  const onError = (error: Error) => {
    if (error instanceof EndlessBytes) {
      report(error);
      // The sum over all responses says nothing about this upstream.
      if (error.shape !== EndlessShape.held) {
        onExceeded();
      }
    }
  };
  if (message?.errored) {
    // It failed in the same read as its head, before anyone listened.
    onError(message.errored);
  } else {
    message?.once("error", onError);
  }
}

function messageOf(response: UpstreamResponse): IncomingMessage | undefined {
  return response.kind === "head" || response.kind === "not_run"
    ? response.message
    : undefined;
}

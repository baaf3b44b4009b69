import type { IncomingMessage } from "node:http";
import type { ResponseFraming } from "../../common/response_framing.ts";
import type { Metrics } from "../../common/metrics.ts";
import { EndedBy } from "../responses/ended_by.ts";
import type { AttemptTrace } from "./attempt_trace.ts";

/** Records how the end of a response is marked, and an error before it. */
export function recordEnd(
  message: IncomingMessage,
  { framing, context, trace, signal }: {
    framing: ResponseFraming;
    context: { readonly metrics: Metrics };
    trace: AttemptTrace;
    signal: AbortSignal;
  },
): void {
  trace.recordFraming(framing);
  context.metrics.increment(`gateway.response_framing.${framing}`);
  message.once("error", (error: NodeJS.ErrnoException) => {
    trace.recordError(error.code ?? error.message);
    if (!signal.aborted) {
      trace.recordEndedBy(EndedBy.upstream);
    }
  });
}

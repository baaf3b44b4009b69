import type { Milliseconds } from "@heroncleat/base";
import type { CallerRequest } from "../caller_request.ts";
import { streamKey } from "./stream_key.ts";
import type { StreamOriginExchange } from "./stream_origin_exchange.ts";

/** Time in which a caller may resume a stream after it stops waiting. */
const RETURN_TIME: Milliseconds = 5000;

/**
 * Records that events of a version are passed on, if they may be resumed. Its
 * caller may name the attempt that began the stream or the last one.
 */
export function recordStream(
  call: CallerRequest,
  { version, streams }: {
    version: string;
    streams: Pick<StreamOriginExchange, "recordBegin">;
  },
): void {
  const { route, service, workspace, attempt, resumption } = call;
  if (!route.isResumable) {
    return;
  }
  const own = streamKey({ workspace: workspace?.name ?? "", attempt });
  for (const stream of new Set([resumption?.stream || own, own])) {
    streams.recordBegin({
      stream,
      route,
      origin: { service, version },
      expiresAt: (call.statedEnd ?? call.deadline) + RETURN_TIME,
      isResumed: resumption !== undefined,
    });
  }
}

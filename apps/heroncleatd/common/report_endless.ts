import type { EndlessBytes } from "./endless_bytes.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Counts and logs that a connection was closed at a limit. */
export function reportEndless(
  { shape, bytes, limit }: EndlessBytes,
  { metrics, log, request, upstream }: {
    metrics: Metrics;
    log: Log;
    /** Identifier of the request. */
    request: string;
    upstream: string;
  },
): void {
  metrics.increment(`gateway.endless.${shape}`);
  log.warn("A connection was closed, as it exceeded a limit", {
    request,
    upstream,
    shape,
    bytes,
    limit,
  });
}

import { RateLimiter } from "@heroncleat/base";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";

/** Limits the lines about descriptors: one a second. */
const shortageLines = new RateLimiter(1, 5);

/** No upstream is at fault; see `lacksDescriptors`. */
export function reportShortage(
  { log, metrics }: ForwardContext,
  { call, upstream }: { call: CallerRequest; upstream: string },
): void {
  metrics.increment("gateway.without_descriptor");
  if (shortageLines.tryConsume(performance.now())) {
    log.warn("No descriptor is left for a connection to an upstream", {
      request: call.attempt,
      upstream,
    });
  }
}

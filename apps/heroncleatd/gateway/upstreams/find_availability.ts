import { type UpstreamBalancer, upstreamVersion } from "@heroncleat/serving";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";

/** How the upstreams that may run a request are available for it now. */
export function findAvailability(
  { service }: CallerRequest,
  { context, excluded, version }: {
    readonly context: ForwardContext;
    /** Identifiers of upstreams that don't count. */
    readonly excluded: ReadonlySet<string>;
    /** The only software version that may run it; undefined if any. */
    readonly version: string | undefined;
  },
): ReturnType<UpstreamBalancer["availability"]> {
  const { choice, clock, directory, isSynced, zone } = context;
  return choice.availability(directory.list(), {
    now: clock.steady(),
    requiresHeartbeats: isSynced(),
    request: {
      service,
      zone,
      parts: [],
      promptTokens: 0,
      excluded,
      isResumed: version !== undefined,
      isAdmitted: version === undefined
        ? undefined
        : ({ record }) => upstreamVersion(record.version) === version,
    },
  });
}

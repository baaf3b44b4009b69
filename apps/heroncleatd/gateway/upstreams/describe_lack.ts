import { upstreamVersion } from "@heroncleat/serving";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";

/**
 * Describes for the log that no upstream could run a request: how many of its
 * service, and version if it is bound to one, are in each state.
 */
export function describeLack(
  { service }: CallerRequest,
  { context, version }: {
    readonly context: ForwardContext;
    /** The only software version that may run it; undefined if any. */
    readonly version: string | undefined;
  },
): string {
  const counts = { ready: 0, draining: 0, gone: 0 };
  for (const { record } of context.directory.list()) {
    const isOther = record.service !== service ||
      version !== undefined && upstreamVersion(record.version) !== version;
    if (!isOther) {
      counts[record.state] += 1;
    }
  }
  const { ready, draining, gone } = counts;
  const bound = version === undefined ? "" : ` version=${version}`;
  return `no upstream${bound} ready=${ready} draining=${draining} gone=${gone}`;
}

import type { UpstreamRecord } from "@heroncleat/serving";
import type { ForwardContext } from "../forward_context.ts";

/**
 * Whether an upstream has reported another version, or another start, than the
 * one that a request was sent to.
 *
 * @param sentTo The record by which the upstream was chosen.
 */
export function wasReplaced(
  sentTo: UpstreamRecord,
  { directory }: Pick<ForwardContext, "directory">,
): boolean {
  const current = directory.get(sentTo.id)?.record ?? sentTo;
  return current.version !== sentTo.version ||
    directory.hasRestarted(sentTo.id);
}

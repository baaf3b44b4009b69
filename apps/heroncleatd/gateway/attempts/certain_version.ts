import { type UpstreamRecord, upstreamVersion } from "@heroncleat/serving";
import type { ForwardContext } from "../forward_context.ts";
import { wasReplaced } from "./was_replaced.ts";

/**
 * The software version of the process that responds; undefined while it may be
 * another than the one that reported it.
 *
 * @param sentTo The record by which the upstream was chosen.
 */
export function certainVersion(
  sentTo: UpstreamRecord,
  context: Pick<ForwardContext, "directory" | "agentOf">,
): string | undefined {
  if (wasReplaced(sentTo, context)) {
    return undefined;
  }
  const heartbeatAt = context.directory.get(sentTo.id)?.receivedAt ?? Infinity;
  return context.agentOf(sentTo.id).mayHaveEnded(heartbeatAt)
    ? undefined
    : upstreamVersion(sentTo.version);
}

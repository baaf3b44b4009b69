import type { UpstreamFilter } from "@heroncleat/rollouts";
import { upstreamVersion } from "@heroncleat/serving";
import type { ForwardContext } from "../forward_context.ts";

/**
 * Filters of the upstreams that run a version, to be tried in turn: first those
 * whose process can't have been replaced since it reported the version, as the
 * others have to report it again before their events are passed on.
 */
export function admitVersion(
  version: string,
  { directory, agentOf }: Pick<ForwardContext, "directory" | "agentOf">,
): UpstreamFilter[] {
  const runsVersion: UpstreamFilter = ({ record }) =>
    upstreamVersion(record.version) === version;
  const isCertain: UpstreamFilter = ({ record: { id } }) => {
    const heartbeatAt = directory.get(id)?.receivedAt ?? -Infinity;
    return !agentOf(id).mayHaveEnded(heartbeatAt);
  };
  return [
    (upstream) => runsVersion(upstream) && isCertain(upstream),
    runsVersion,
  ];
}

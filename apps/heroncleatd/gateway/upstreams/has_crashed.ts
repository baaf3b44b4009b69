import type { ForwardContext } from "../forward_context.ts";

/**
 * Whether an upstream has crashed that ended a response with its connection.
 * One that is leaving exits by intent after its last response.
 *
 * @param upstream Identifier of the upstream instance.
 */
export async function hasCrashed(
  upstream: string,
  { directory, refusesConnections }: ForwardContext,
): Promise<boolean> {
  const record = directory.get(upstream)?.record;
  return record?.state === "ready" && await refusesConnections(record.address);
}

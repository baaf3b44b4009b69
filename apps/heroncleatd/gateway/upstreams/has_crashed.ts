import { requiredHold } from "../../common/required_hold.ts";
import type { ForwardContext } from "../forward_context.ts";

/**
 * Whether an upstream that ended a response with its connection may have cut it
 * short, as its process has ended.
 *
 * @param upstream Identifier of the upstream instance.
 */
export async function hasCrashed(
  upstream: string,
  { clock, directory, refusesConnections }: ForwardContext,
): Promise<boolean> {
  const known = directory.get(upstream);
  if (known === undefined) {
    return false;
  }
  const { address, state, leavesIn } = known.record;
  const hold = requiredHold({
    isLeaving: state !== "ready",
    reclaimedAt: leavesIn === undefined
      ? undefined
      : known.receivedAt + leavesIn,
  }, clock.steady());
  return hold !== undefined && await refusesConnections(address, hold);
}

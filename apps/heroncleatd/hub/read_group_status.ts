import type { Milliseconds } from "@heroncleat/base";
import type { GroupState } from "@heroncleat/consensus";
import type { PeerPool } from "@heroncleat/transport";
import { hubCalls } from "./hub_calls.ts";
import type { ReplicaGroup } from "./replica_group.ts";

const LEADER_TIMEOUT: Milliseconds = 500;

type StatusOptions = {
  readonly group: ReplicaGroup;
  readonly pool: PeerPool;
  /** Whether another replica asks; it already chose this one as the leader. */
  readonly isForwarded: boolean;
};

/**
 * Reads the state of the group from its leader, as only the leader knows which
 * members lag; from this replica if the leader doesn't respond.
 */
export async function readGroupStatus(
  { group, pool, isForwarded }: StatusOptions,
): Promise<GroupState> {
  const { leaderAddress, ownAddress } = group;
  const isAnsweredHere = isForwarded || leaderAddress === undefined ||
    leaderAddress === ownAddress;
  if (isAnsweredHere) {
    return group.state;
  }
  try {
    return await pool.call(leaderAddress, hubCalls.status, {
      parameters: { isForwarded: true },
      timeout: LEADER_TIMEOUT,
    }) as GroupState;
  } catch {
    return group.state;
  }
}

import type { Milliseconds } from "@heroncleat/base";

type OrderConditions = {
  readonly now: Milliseconds;
  readonly leaseUntil: Milliseconds;
  /** Time at which this replica became leader. */
  readonly leaderSince: Milliseconds;
  readonly electionTimeout: Milliseconds;
  readonly clockDrift: number;
  readonly orderTimeout: Milliseconds;
  readonly checksFencing: boolean;
};

/**
 * Whether an order can't run at the same time as one of another leader. An
 * upstream that checks fencing numbers rejects a stale order itself, so a valid
 * lease suffices. For any other upstream, the order must time out within this
 * leader's lease, and only start after the lease and the last order of an
 * earlier leader have expired.
 */
export function maySendOrder(conditions: OrderConditions): boolean {
  const { now, leaseUntil, orderTimeout } = conditions;
  if (conditions.checksFencing) {
    return now < leaseUntil;
  }
  const drift = 1 + conditions.clockDrift;
  const earlierOrdersUntil = conditions.leaderSince +
    (conditions.electionTimeout + orderTimeout) * drift;
  return now >= earlierOrdersUntil && now + orderTimeout < leaseUntil;
}

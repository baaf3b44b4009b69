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
 * Whether an order can't run at the same time as one of another leader. For an
 * upstream that doesn't check fencing numbers, it must time out within this
 * leader's lease and start after those of earlier leaders.
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

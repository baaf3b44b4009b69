import { hashToUnit } from "./hash_to_unit.ts";

/** Least upstreams of a service that an entry follows, if there are as many. */
const MIN_FOLLOWED = 64;
/** A share is halved only if this many times as many would still remain. */
const HYSTERESIS = 1.25;

/** Shares of a service's upstreams, by service; 1 where absent. @public */
export type FollowedShares = Readonly<Record<string, number>>;

/**
 * Which upstreams of a large service an entry follows: a subset of its own, so
 * that its state doesn't grow with the service. Shares are powers of two; a
 * smaller one is a subset of a larger one.
 *
 * @public
 */
export const followedShare = {
  /** The share for a service with a number of ready upstreams. */
  forCount(count: number, previous: number): number {
    let share = previous;
    while (share < 1 && count * share < MIN_FOLLOWED) {
      share *= 2;
    }
    while (count * share / 2 >= MIN_FOLLOWED * HYSTERESIS) {
      share /= 2;
    }
    return share;
  },

  /** Whether an entry follows an upstream, both given by name. */
  includes(entry: string, upstream: string, share: number): boolean {
    return share >= 1 || hashToUnit.of(entry, upstream) < share;
  },
};

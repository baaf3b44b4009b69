import { createRecord, type Milliseconds, ownValue } from "@heroncleat/base";
import { followedShare, type FollowedShares } from "./followed_share.ts";
import type { KnownUpstream } from "./known_upstream.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/** Minimum time between two counts of the upstreams. */
const COUNT_INTERVAL: Milliseconds = 500;

/**
 * Tells which upstreams the entries of one control replica follow.
 *
 * @internal
 */
export class FollowedUpstreams {
  #countedAt: Milliseconds = -Infinity;
  /** Only services of which entries follow a part. */
  #shares: FollowedShares = {};
  /**
   * IDs of the upstreams that an entry follows, by entry, so that an exchange
   * takes time proportional to these. Built on first use.
   */
  readonly #lists = new Map<string, Set<string>>();

  /** Whether entries follow a part of the upstreams of any service. */
  get isLimited(): boolean {
    return Object.keys(this.#shares).length > 0;
  }

  get shares(): FollowedShares {
    return this.#shares;
  }

  /** Adapts the shares to the number of ready upstreams. */
  count(upstreams: () => Iterable<KnownUpstream>, now: Milliseconds): void {
    if (now - this.#countedAt < COUNT_INTERVAL) {
      return;
    }
    this.#countedAt = now;
    const counts = new Map<string, number>();
    for (const { record: { service, state } } of upstreams()) {
      if (state === "ready") {
        counts.set(service, (counts.get(service) ?? 0) + 1);
      }
    }
    const shares = createRecord<number>();
    for (const [service, count] of counts) {
      const share = followedShare.forCount(
        count,
        ownValue(this.#shares, service) ?? 1,
      );
      if (share < 1) {
        shares[service] = share;
      }
    }
    if (JSON.stringify(shares) !== JSON.stringify(this.#shares)) {
      this.#shares = shares;
      this.#lists.clear();
    }
  }

  /** Adds a new upstream to the lists of the entries that follow it. */
  add(record: UpstreamRecord): void {
    for (const [entry, list] of this.#lists) {
      if (this.includes(entry, record)) {
        list.add(record.id);
      }
    }
  }

  /** IDs of the upstreams that an entry follows; may be changed by removals. */
  listFor(
    entry: string,
    upstreams: () => Iterable<UpstreamRecord>,
  ): Set<string> {
    const existing = this.#lists.get(entry);
    if (existing !== undefined) {
      return existing;
    }
    const list = new Set<string>();
    for (const record of upstreams()) {
      if (this.includes(entry, record)) {
        list.add(record.id);
      }
    }
    this.#lists.set(entry, list);
    return list;
  }

  /** Drops the list of an entry that is gone. */
  forget(entry: string): void {
    this.#lists.delete(entry);
  }

  /** Whether an entry follows an upstream. */
  includes(entry: string, { name, service }: UpstreamRecord): boolean {
    const share = ownValue(this.#shares, service);
    return share === undefined || followedShare.includes(entry, name, share);
  }

  /**
   * Whether an entry follows a smaller share of any service than it should, so
   * that it lacks upstreams that haven't changed.
   */
  hasGrown(followed: FollowedShares): boolean {
    return Object.entries(followed).some(([service, share]) =>
      (ownValue(this.#shares, service) ?? 1) > share
    );
  }

  /** Whether an entry follows other shares than it should. */
  differs(followed: FollowedShares): boolean {
    const services = Object.keys(this.#shares);
    return services.length !== Object.keys(followed).length ||
      services.some((service) =>
        this.#shares[service] !== ownValue(followed, service)
      );
  }
}

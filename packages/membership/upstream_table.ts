import type { Milliseconds } from "@heroncleat/base";
import type { Announcement, UpstreamRecord } from "@heroncleat/schema";
import type { KnownUpstream } from "./known_upstream.ts";

/**
 * The latest announcement of each upstream, received directly or by gossip.
 *
 * @internal
 */
export class UpstreamTable {
  readonly #lease: Milliseconds;
  readonly #upstreams = new Map<string, KnownUpstream>();

  constructor(lease: Milliseconds) {
    this.#lease = lease;
  }

  get(name: string): KnownUpstream | undefined {
    return this.#upstreams.get(name);
  }

  all(): IterableIterator<KnownUpstream> {
    return this.#upstreams.values();
  }

  /** Merges a record if it is newer, and returns whether it was. */
  merge(record: UpstreamRecord, now: Milliseconds): boolean {
    const { announcement } = record;
    const known = this.#upstreams.get(announcement.name);
    if (known !== undefined && !isNewer(announcement, known.announcement)) {
      return false;
    }
    const lastSeenAt = now - record.age;
    this.#upstreams.set(announcement.name, {
      announcement,
      heardBy: record.heardBy,
      lastSeenAt,
      transmissions: 0,
      isLapsed: now - lastSeenAt > this.#lease,
    });
    return true;
  }

  /** Marks newly lapsed leases and returns the names of their upstreams. */
  markLapsed(now: Milliseconds): string[] {
    const names: string[] = [];
    for (const [name, known] of this.#upstreams) {
      if (!known.isLapsed && now - known.lastSeenAt > this.#lease) {
        known.isLapsed = true;
        names.push(name);
      }
    }
    return names;
  }

  /** Extends the leases in force after a pause of the process. */
  extendLeases(pause: Milliseconds): void {
    for (const known of this.#upstreams.values()) {
      if (!known.isLapsed) {
        known.lastSeenAt += pause;
      }
    }
  }

  removeLapsed(before: Milliseconds): void {
    for (const [name, known] of this.#upstreams) {
      if (known.isLapsed && known.lastSeenAt < before) {
        this.#upstreams.delete(name);
      }
    }
  }

  toRecord(known: KnownUpstream, now: Milliseconds): UpstreamRecord {
    return {
      announcement: known.announcement,
      heardBy: known.heardBy,
      age: Math.max(0, now - known.lastSeenAt),
    };
  }
}

function isNewer(announcement: Announcement, known: Announcement): boolean {
  if (announcement.incarnation !== known.incarnation) {
    return announcement.incarnation > known.incarnation;
  }
  return announcement.sequence > known.sequence;
}

import type { Milliseconds } from "@heroncleat/base";
import type { MemberRecord } from "@heroncleat/schema";
import type { KnownMember } from "./known_member.ts";

/** Which state wins between records of one incarnation. */
const STATE_RANK: Record<MemberRecord["state"], number> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/**
 * The members an entry knows, itself excluded.
 *
 * @internal
 */
export class MemberTable {
  readonly #members = new Map<string, KnownMember>();

  get(name: string): KnownMember | undefined {
    return this.#members.get(name);
  }

  all(): IterableIterator<KnownMember> {
    return this.#members.values();
  }

  /** Members that may still be reached. */
  reachable(): KnownMember[] {
    return [...this.#members.values()].filter((member) =>
      member.record.state !== "dead"
    );
  }

  /** Takes a record when it is news; says whether the state changed. */
  merge(record: MemberRecord, now: Milliseconds): boolean {
    const known = this.#members.get(record.name);
    if (known === undefined) {
      this.#members.set(record.name, {
        record,
        changedAt: now,
        transmissions: 0,
      });
      return true;
    }
    if (!isNewer(record, known.record)) {
      noteRevision(known, record);
      return false;
    }
    const changed = known.record.state !== record.state ||
      known.record.incarnation !== record.incarnation;
    known.record = {
      ...record,
      revision: Math.max(record.revision, known.record.revision),
    };
    known.transmissions = 0;
    if (changed) {
      known.changedAt = now;
    }
    return changed;
  }

  remove(name: string): void {
    this.#members.delete(name);
  }
}

function isNewer(record: MemberRecord, known: MemberRecord): boolean {
  if (record.incarnation !== known.incarnation) {
    return record.incarnation > known.incarnation;
  }
  return STATE_RANK[record.state] > STATE_RANK[known.state];
}

function noteRevision(known: KnownMember, record: MemberRecord): void {
  const same = record.incarnation === known.record.incarnation;
  if (same && record.revision > known.record.revision) {
    known.record = { ...known.record, revision: record.revision };
    known.transmissions = 0;
  }
}

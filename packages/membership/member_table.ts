import type { Milliseconds } from "@heroncleat/base";
import type { MemberRecord } from "@heroncleat/schema";
import type { KnownMember } from "./known_member.ts";

/** Precedence of states among records of the same incarnation. */
const STATE_PRECEDENCE: Record<MemberRecord["state"], number> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/**
 * The latest record of each member, without this entry's own.
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

  /** Members in any state but dead. */
  reachable(): KnownMember[] {
    return [...this.#members.values()].filter((member) =>
      member.record.state !== "dead"
    );
  }

  /**
   * Merges a record if it supersedes the present one, and returns whether the
   * state or the incarnation changed.
   */
  merge(record: MemberRecord, now: Milliseconds): boolean {
    const known = this.#members.get(record.name);
    if (known === undefined) {
      this.#members.set(record.name, {
        record,
        stateChangedAt: now,
        transmissions: 0,
      });
      return true;
    }
    if (!supersedes(record, known.record)) {
      mergeRevision(known, record);
      return false;
    }
    const isChanged = known.record.state !== record.state ||
      known.record.incarnation !== record.incarnation;
    known.record = {
      ...record,
      revision: Math.max(record.revision, known.record.revision),
    };
    known.transmissions = 0;
    if (isChanged) {
      known.stateChangedAt = now;
    }
    return isChanged;
  }

  remove(name: string): void {
    this.#members.delete(name);
  }
}

function supersedes(record: MemberRecord, known: MemberRecord): boolean {
  if (record.incarnation !== known.incarnation) {
    return record.incarnation > known.incarnation;
  }
  return STATE_PRECEDENCE[record.state] > STATE_PRECEDENCE[known.state];
}

function mergeRevision(known: KnownMember, record: MemberRecord): void {
  const isSameIncarnation = record.incarnation === known.record.incarnation;
  if (isSameIncarnation && record.revision > known.record.revision) {
    known.record = { ...known.record, revision: record.revision };
    known.transmissions = 0;
  }
}

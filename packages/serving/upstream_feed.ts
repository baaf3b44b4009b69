import { createRecord, type Milliseconds } from "@heroncleat/base";
import { ChangeLog } from "./change_log.ts";
import type { RevisionCounter } from "./revision_counter.ts";
import type { UpstreamChanges } from "./upstream_changes.ts";
import type { MergeOutcome } from "./merge_outcome.ts";
import { MIN_REPORTED_AGE } from "./min_reported_age.ts";
import type { UpdateSource } from "./update_source.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/**
 * The upstreams that one control replica has a record of, and what changed
 * after a revision.
 *
 * @internal
 */
export class UpstreamFeed {
  readonly directory = new UpstreamDirectory();
  readonly #revisions: RevisionCounter;
  readonly #received = new ChangeLog();
  /** Revision of the last change of an upstream, by instance ID. */
  readonly #changedAt = new Map<string, number>();
  /** The same changes in their order. */
  readonly #changes = new ChangeLog();

  constructor(revisions: RevisionCounter) {
    this.#revisions = revisions;
  }

  /**
   * Merges an update.
   *
   * @returns How the update changed the record.
   */
  merge(
    update: UpstreamRecord,
    now: Milliseconds,
    source?: UpdateSource,
  ): MergeOutcome {
    const id = this.directory.findInstanceId(update, now);
    const outcome = this.directory.merge(update, now, source);
    if (outcome === "late") {
      return outcome;
    }
    const revision = this.#revisions.next();
    this.#received.record(id, revision);
    if (outcome === "changed" || !this.#changedAt.has(id)) {
      this.#recordChange(id, revision);
    }
    return outcome;
  }

  /**
   * Records that an upstream departed.
   *
   * @returns ID of the departed instance; undefined if an earlier one may be
   * meant.
   */
  remove(
    name: string,
    now: Milliseconds,
    born?: Milliseconds,
  ): string | undefined {
    const id = this.directory.findDeparted(name, { born, now });
    if (id === undefined) {
      return undefined;
    }
    this.directory.remove(id, now, {
      reporter: "",
      age: 0,
      isStartUnnamed: born === undefined,
    });
    const revision = this.#revisions.next();
    this.#received.record(id, revision);
    this.#recordChange(id, revision);
    return id;
  }

  #recordChange(id: string, revision: number): void {
    this.#changedAt.set(id, revision);
    this.#changes.record(id, revision);
  }

  /** Records of all upstreams, also of departed ones. */
  *records(): Iterable<UpstreamRecord> {
    for (const id of this.#changes.ids()) {
      const record = this.directory.get(id)?.record;
      if (record !== undefined) {
        yield record;
      }
    }
  }

  /** Changes after a revision; 0 returns all. */
  changesSince(revision: number, now: Milliseconds): UpstreamChanges {
    return this.#collect(this.#received.idsSince(revision), { revision, now });
  }

  /**
   * Changes for another replica, without heartbeats that it gets itself.
   *
   * @param options.reads Replicas whose feeds the other one reads.
   */
  changesForReplica(
    { revision, reads, now }: {
      revision: number;
      reads: readonly string[];
      now: Milliseconds;
    },
  ): UpstreamChanges {
    const changes = this.changesSince(revision, now);
    const beats = createRecord<number>();
    for (const [id, sequence] of Object.entries(changes.beats)) {
      if (!reads.includes(this.directory.get(id)?.reporter ?? "")) {
        beats[id] = sequence;
      }
    }
    return { ...changes, beats };
  }

  /** Changes without heartbeats, which take much less time to find. */
  recordsChangedSince(revision: number, now: Milliseconds): UpstreamChanges {
    return this.#collect(this.#changes.idsSince(revision), { revision, now });
  }

  /**
   * Changes after a revision among the upstreams that an entry follows. IDs of
   * expired upstreams are removed from the set.
   */
  changesAmong(
    ids: Set<string>,
    { revision, now, log }: {
      revision: number;
      now: Milliseconds;
      /** Whether heartbeats are included. */
      log: "received" | "changes";
    },
  ): UpstreamChanges {
    const changes = log === "received" ? this.#received : this.#changes;
    const changed: string[] = [];
    for (const id of ids) {
      if (changes.revisionOf(id) > revision) {
        changed.push(id);
      } else if (this.directory.get(id) === undefined) {
        ids.delete(id);
      }
    }
    return this.#collect(changed, { revision, now });
  }

  #collect(
    ids: Iterable<string>,
    { revision, now }: { revision: number; now: Milliseconds },
  ): UpstreamChanges {
    const upstreams: UpstreamRecord[] = [];
    const beats = createRecord<number>();
    const ages = createRecord<Milliseconds>();
    const drainAges = createRecord<Milliseconds>();
    for (const id of ids) {
      const known = this.directory.get(id);
      if (known === undefined || !this.#isForwarded(known.record)) {
        continue;
      }
      const { record, receivedAt, drainingSince } = known;
      if ((this.#changedAt.get(id) ?? 0) > revision) {
        upstreams.push(record);
        if (record.state === "draining" && drainingSince !== undefined) {
          drainAges[id] = Math.ceil(now - drainingSince);
        }
      } else {
        beats[id] = record.sequence;
      }
      const age = Math.round(now - receivedAt);
      if (age >= MIN_REPORTED_AGE) {
        ages[id] = age;
      }
    }
    return { upstreams, beats, ages, drainAges };
  }

  /**
   * An instance that isn't the current one is forwarded only when it departs.
   */
  #isForwarded({ id, state }: UpstreamRecord): boolean {
    return state !== "ready" || !this.directory.isReplaced(id);
  }

  /** Removes upstreams that are past their retention. */
  expire(now: Milliseconds): void {
    this.directory.expire(now);
    for (const id of this.#received.ids()) {
      if (this.directory.get(id) === undefined) {
        this.#received.remove(id);
        this.#changes.remove(id);
        this.#changedAt.delete(id);
      }
    }
  }
}

import type { Milliseconds } from "@heroncleat/base";
import { ChangeLog } from "./change_log.ts";
import type { RevisionCounter } from "./revision_counter.ts";
import type { UpstreamChanges } from "./upstream_changes.ts";
import type { MergeOutcome } from "./merge_outcome.ts";
import type { UpdateSource } from "./update_source.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/**
 * Ages below are left out. Two hops then hide 1 s at most, less than lies
 * between two heartbeats, and most heartbeats are passed on sooner.
 */
const MIN_REPORTED_AGE: Milliseconds = 500;

/**
 * The upstreams that one control replica knows, and what changed of them behind
 * a revision.
 *
 * @internal
 */
export class UpstreamFeed {
  readonly directory = new UpstreamDirectory();
  readonly #revisions: RevisionCounter;
  readonly #received = new ChangeLog();
  /** Revision at which an upstream last changed, by its identifier. */
  readonly #changedAt = new Map<string, number>();

  constructor(revisions: RevisionCounter) {
    this.#revisions = revisions;
  }

  /** Takes an update in and says what it brought. */
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
      this.#changedAt.set(id, revision);
    }
    return outcome;
  }

  /**
   * Notes that an upstream has left.
   *
   * @returns The start that left; undefined if it was one before the living.
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
    this.directory.remove(id, now);
    const revision = this.#revisions.next();
    this.#received.record(id, revision);
    this.#changedAt.set(id, revision);
    return id;
  }

  /** What changed behind a revision; 0 asks for all. */
  changesSince(revision: number, now: Milliseconds): UpstreamChanges {
    const upstreams: UpstreamRecord[] = [];
    const beats: Record<string, number> = {};
    const ages: Record<string, Milliseconds> = {};
    for (const id of this.#received.idsSince(revision)) {
      const known = this.directory.get(id);
      if (known === undefined || !this.#isForwarded(known.record)) {
        continue;
      }
      const { record, receivedAt } = known;
      if ((this.#changedAt.get(id) ?? 0) > revision) {
        upstreams.push(record);
      } else {
        beats[id] = record.sequence;
      }
      const age = Math.round(now - receivedAt);
      if (age >= MIN_REPORTED_AGE) {
        ages[id] = age;
      }
    }
    return { upstreams, beats, ages };
  }

  /** An earlier start matters to nobody, but for the word that it leaves. */
  #isForwarded({ id, state }: UpstreamRecord): boolean {
    return state !== "ready" || !this.directory.isReplaced(id);
  }

  /** Forgets upstreams that can't matter any more. */
  expire(now: Milliseconds): void {
    this.directory.expire(now);
    for (const id of this.#received.ids()) {
      if (this.directory.get(id) === undefined) {
        this.#received.remove(id);
        this.#changedAt.delete(id);
      }
    }
  }
}

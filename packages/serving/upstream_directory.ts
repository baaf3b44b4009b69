import type { Milliseconds } from "@heroncleat/base";
import type { KnownUpstream } from "./known_upstream.ts";
import type { MergeOutcome } from "./merge_outcome.ts";
import { startId } from "./start_id.ts";
import type { UpdateSource } from "./update_source.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import { UpstreamStarts } from "./upstream_starts.ts";
import { upstreamUpdate } from "./upstream_update.ts";

/** The upstream itself, which reports to the process that takes it in. */
const FIRST_HAND: UpdateSource = { reporter: "", age: 0 };

/** Time after which a silent upstream that left is forgotten. */
const FORGET_AFTER = 60_000;
/**
 * Time for which a later start at an address stands against updates of an
 * earlier one: two heartbeats. If the order in which the two were first seen
 * was wrong, the one that lives is back as soon as the other has been silent
 * for so long.
 */
const SUPERSEDED_FOR: Milliseconds = 2500;
/**
 * Time in which a departure without a birth is taken for that of an earlier
 * start, where there was one: updates may be seconds late.
 */
const FRESH_FOR: Milliseconds = 5000;

/**
 * The upstreams that announced themselves. Updates from several sources may
 * arrive in any order and more than once; a start that left or is leaving never
 * comes back, and one whose upstream has started again counts no more.
 *
 * @public
 */
export class UpstreamDirectory {
  /** By identity of the start. */
  readonly #known = new Map<string, KnownUpstream>();
  /** Starts that were seen at an address; a search over all would be slow. */
  readonly #idsAt = new Map<string, Set<string>>();
  readonly #starts = new UpstreamStarts();

  /** Takes updates in and says what they brought. */
  merge(
    reported: UpstreamRecord,
    now: Milliseconds,
    source: UpdateSource = FIRST_HAND,
  ): MergeOutcome {
    // Processes of a release without births report no name beside the identity.
    const updates = { ...reported, name: reported.name ?? reported.id };
    const leaving = this.#findNamed(updates, now);
    if (leaving !== undefined) {
      this.remove(leaving, now, source);
      return "changed";
    }
    const entry = this.#known.get(updates.id);
    const known = entry?.record;
    if (known !== undefined && !upstreamUpdate.isNewer(updates, known)) {
      return "late";
    }
    // A heartbeat may be held up by a cut and come after its sender crashed.
    const isAlive = updates.state === "ready";
    if (isAlive && entry !== undefined && this.#isSuperseded(entry, now)) {
      return "late";
    }
    const livedBefore = this.#starts.lives(updates);
    if (!this.#starts.receive(updates, now - source.age)) {
      return this.#mergeEarlier(updates, now, source);
    }
    const record = known === undefined ? updates : {
      ...updates,
      sequence: Math.max(updates.sequence, known.sequence),
      state: upstreamUpdate.laterState(known.state, updates.state),
    };
    this.#note(record, now, source);
    const isSame = known !== undefined &&
      upstreamUpdate.isSameBeside(record, known);
    return livedBefore && isSame ? "received" : "changed";
  }

  /**
   * The start that an update is of: its own but for a departure that somebody
   * who knew none reports by the name alone.
   */
  startOf(update: UpstreamRecord, now: Milliseconds): string {
    const named = { ...update, name: update.name ?? update.id };
    return this.#findNamed(named, now) ?? update.id;
  }

  #findNamed(
    { id, name, born, state }: UpstreamRecord,
    now: Milliseconds,
  ): string | undefined {
    if (born !== undefined || state !== "gone") {
      return undefined;
    }
    const leaving = this.findLeaving(name, { born, now });
    return leaving === id ? undefined : leaving;
  }

  /** Takes in that a known upstream sent a heartbeat like the one before. */
  refresh(
    id: string,
    now: Milliseconds,
    heartbeat: UpdateSource & { sequence: number },
  ): void {
    const { sequence } = heartbeat;
    const known = this.#known.get(id);
    const isNew = known !== undefined && sequence > known.record.sequence;
    if (!isNew || this.#isSuperseded(known, now)) {
      return;
    }
    if (this.#starts.receive(known.record, now - heartbeat.age)) {
      this.#note({ ...known.record, sequence }, now, heartbeat);
    }
  }

  /**
   * The start that a departure is of. One that names no birth is of the living
   * start, unless that is so young that the departure may be an earlier one's.
   */
  findLeaving(
    name: string,
    options: { born: Milliseconds | undefined; now: Milliseconds },
  ): string | undefined {
    const { born, now } = options;
    if (born !== undefined) {
      return startId(name, born);
    }
    const living = this.#known.get(this.#starts.livingOf(name));
    const isFresh = living !== undefined &&
      now - living.firstReceivedAt < FRESH_FOR;
    return isFresh && this.#starts.hasEarlier(living.record)
      ? undefined
      : living?.record.id ?? name;
  }

  /** Notes that a start of an upstream is gone. */
  remove(
    id: string,
    now: Milliseconds,
    source: UpdateSource = FIRST_HAND,
  ): UpstreamRecord {
    const known = this.#known.get(id)?.record;
    const record: UpstreamRecord = {
      ...(known ?? { ...UNKNOWN, name: id }),
      id,
      state: "gone",
      sequence: (known?.sequence ?? 0) + 1,
    };
    this.#note(record, now, source);
    return record;
  }

  /**
   * Takes in an update of a start that isn't the living one. The order of
   * births may be wrong, so the start is kept, and that it leaves counts: it
   * was acknowledged, and nobody says it again should this start prove to be
   * the living one.
   */
  #mergeEarlier(
    updates: UpstreamRecord,
    now: Milliseconds,
    source: UpdateSource,
  ): MergeOutcome {
    const known = this.#known.get(updates.id)?.record;
    if (known === undefined) {
      this.#note(updates, now, source);
      return updates.state === "ready" ? "late" : "changed";
    }
    const state = upstreamUpdate.laterState(known.state, updates.state);
    if (state === known.state) {
      return "late";
    }
    this.#note({ ...known, state }, now, source);
    return "changed";
  }

  #note(
    record: UpstreamRecord,
    now: Milliseconds,
    { reporter, age }: UpdateSource,
  ): void {
    const known = this.#known.get(record.id);
    const firstReceivedAt = known?.firstReceivedAt ?? now;
    this.#known.set(record.id, {
      record,
      receivedAt: Math.max(now - age, known?.receivedAt ?? -Infinity),
      firstReceivedAt,
      reporter,
    });
    if (known?.record.address !== record.address) {
      this.#idsAt.get(known?.record.address ?? "")?.delete(record.id);
      const ids = this.#idsAt.get(record.address) ?? new Set();
      this.#idsAt.set(record.address, ids.add(record.id));
    }
  }

  /** Whether a later start at the same address was seen lately. */
  #isSuperseded(earlier: KnownUpstream, now: Milliseconds): boolean {
    const { address, id, name } = earlier.record;
    for (const otherId of this.#idsAt.get(address) ?? []) {
      const { record, receivedAt, firstReceivedAt } = this.#known.get(otherId)!;
      const isOther = record.id !== id && record.name !== name;
      const isLater = isOther && firstReceivedAt > earlier.firstReceivedAt;
      if (isLater && now - receivedAt < SUPERSEDED_FOR) {
        return true;
      }
    }
    return false;
  }

  get(id: string): KnownUpstream | undefined {
    return this.#known.get(id);
  }

  /** Living starts, with those that left lately. */
  *list(): Iterable<KnownUpstream> {
    for (const known of this.#known.values()) {
      if (this.#starts.lives(known.record)) {
        yield known;
      }
    }
  }

  /** Upstreams of a service that say they are ready. */
  countReady(service: string): number {
    let count = 0;
    for (const { record } of this.list()) {
      count += record.service === service && record.state === "ready" ? 1 : 0;
    }
    return count;
  }

  /** Whether the upstream of a start has started again. */
  isOver(id: string): boolean {
    const known = this.#known.get(id);
    return known !== undefined && !this.#starts.lives(known.record);
  }

  /** Drops what has been silent for so long that no late updates can come. */
  forget(now: Milliseconds): void {
    for (const [id, { receivedAt, record }] of this.#known) {
      if (now - receivedAt > FORGET_AFTER) {
        this.#known.delete(id);
        this.#starts.forget(record);
        this.#forgetAddress(record);
      }
    }
  }

  #forgetAddress({ id, address }: UpstreamRecord): void {
    const ids = this.#idsAt.get(address);
    ids?.delete(id);
    if (ids?.size === 0) {
      this.#idsAt.delete(address);
    }
  }
}

const UNKNOWN: Omit<UpstreamRecord, "id" | "name"> = {
  born: undefined,
  service: "",
  address: "",
  zone: "",
  slots: 0,
  sequence: 0,
  state: "gone",
  isSpot: false,
  leavesIn: undefined,
};

import type { Milliseconds } from "@heroncleat/base";
import type { KnownUpstream } from "./known_upstream.ts";
import type { MergeOutcome } from "./merge_outcome.ts";
import { instanceId } from "./instance_id.ts";
import type { UpdateSource } from "./update_source.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import { UpstreamInstances } from "./upstream_instances.ts";
import { upstreamUpdate } from "./upstream_update.ts";

/** The upstream itself, which reports to the process that takes it in. */
const DIRECT_SOURCE: UpdateSource = { reporter: "", age: 0 };

/** Time after which a silent upstream that left is forgotten. */
const RETENTION_MS = 60_000;
/**
 * Time for which a later start at an address stands against updates of an
 * earlier one: two heartbeats. If the order in which the two were first seen
 * was wrong, the one that lives is back as soon as the other has been silent
 * for so long.
 */
const SUPERSEDED_WINDOW: Milliseconds = 2500;
/**
 * Time in which a departure without a birth is taken for that of an earlier
 * start, where there was one: updates may be seconds late.
 */
const NEW_INSTANCE_WINDOW: Milliseconds = 5000;

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
  readonly #instances = new UpstreamInstances();

  /** Takes updates in and says what they brought. */
  merge(
    reported: UpstreamRecord,
    now: Milliseconds,
    source: UpdateSource = DIRECT_SOURCE,
  ): MergeOutcome {
    // Processes of a release without births report no name beside the identity.
    const update = { ...reported, name: reported.name ?? reported.id };
    const departed = this.#findDepartedByName(update, now);
    if (departed !== undefined) {
      this.remove(departed, now, source);
      return "changed";
    }
    const entry = this.#known.get(update.id);
    const known = entry?.record;
    if (known !== undefined && !upstreamUpdate.isNewer(update, known)) {
      return "late";
    }
    // A heartbeat may be held up by a cut and come after its sender crashed.
    const isReady = update.state === "ready";
    if (isReady && entry !== undefined && this.#isSuperseded(entry, now)) {
      return "late";
    }
    const wasCurrent = this.#instances.isCurrent(update);
    if (!this.#instances.observe(update, now - source.age)) {
      return this.#mergeNonCurrent(update, now, source);
    }
    const record = known === undefined ? update : {
      ...update,
      sequence: Math.max(update.sequence, known.sequence),
      state: upstreamUpdate.laterState(known.state, update.state),
    };
    this.#store(record, now, source);
    const isUnchanged = known !== undefined &&
      upstreamUpdate.differsOnlyInSequence(record, known);
    return wasCurrent && isUnchanged ? "received" : "changed";
  }

  /**
   * The start that an update is of: its own but for a departure that somebody
   * who knew none reports by the name alone.
   */
  findInstanceId(update: UpstreamRecord, now: Milliseconds): string {
    const named = { ...update, name: update.name ?? update.id };
    return this.#findDepartedByName(named, now) ?? update.id;
  }

  #findDepartedByName(
    { id, name, born, state }: UpstreamRecord,
    now: Milliseconds,
  ): string | undefined {
    if (born !== undefined || state !== "gone") {
      return undefined;
    }
    const departed = this.findDeparted(name, { born, now });
    return departed === id ? undefined : departed;
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
    if (this.#instances.observe(known.record, now - heartbeat.age)) {
      this.#store({ ...known.record, sequence }, now, heartbeat);
    }
  }

  /**
   * The start that a departure is of. One that names no birth is of the living
   * start, unless that is so young that the departure may be an earlier one's.
   */
  findDeparted(
    name: string,
    options: { born: Milliseconds | undefined; now: Milliseconds },
  ): string | undefined {
    const { born, now } = options;
    if (born !== undefined) {
      return instanceId(name, born);
    }
    const current = this.#known.get(this.#instances.currentIdOf(name));
    const isNewInstance = current !== undefined &&
      now - current.firstReceivedAt < NEW_INSTANCE_WINDOW;
    return isNewInstance && this.#instances.hasOtherInstances(current.record)
      ? undefined
      : current?.record.id ?? name;
  }

  /** Notes that a start of an upstream is gone. */
  remove(
    id: string,
    now: Milliseconds,
    source: UpdateSource = DIRECT_SOURCE,
  ): UpstreamRecord {
    const known = this.#known.get(id)?.record;
    const record: UpstreamRecord = {
      ...(known ?? { ...UNKNOWN_UPSTREAM, name: id }),
      id,
      state: "gone",
      sequence: (known?.sequence ?? 0) + 1,
    };
    this.#store(record, now, source);
    return record;
  }

  /**
   * Takes in an update of a start that isn't the living one. The order of
   * births may be wrong, so the start is kept, and that it leaves counts: it
   * was acknowledged, and nobody says it again should this start prove to be
   * the living one.
   */
  #mergeNonCurrent(
    update: UpstreamRecord,
    now: Milliseconds,
    source: UpdateSource,
  ): MergeOutcome {
    const known = this.#known.get(update.id)?.record;
    if (known === undefined) {
      this.#store(update, now, source);
      return update.state === "ready" ? "late" : "changed";
    }
    const state = upstreamUpdate.laterState(known.state, update.state);
    if (state === known.state) {
      return "late";
    }
    this.#store({ ...known, state }, now, source);
    return "changed";
  }

  #store(
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
      if (isLater && now - receivedAt < SUPERSEDED_WINDOW) {
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
      if (this.#instances.isCurrent(known.record)) {
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
  isReplaced(id: string): boolean {
    const known = this.#known.get(id);
    return known !== undefined && !this.#instances.isCurrent(known.record);
  }

  /** Drops what has been silent for so long that no late updates can come. */
  expire(now: Milliseconds): void {
    for (const [id, { receivedAt, record }] of this.#known) {
      if (now - receivedAt > RETENTION_MS) {
        this.#known.delete(id);
        this.#instances.remove(record);
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

const UNKNOWN_UPSTREAM: Omit<UpstreamRecord, "id" | "name"> = {
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

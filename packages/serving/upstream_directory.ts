import type { Milliseconds } from "@heroncleat/base";
import { findDrainStart } from "./find_drain_start.ts";
import type { KnownUpstream } from "./known_upstream.ts";
import type { MergeOutcome } from "./merge_outcome.ts";
import { instanceId } from "./instance_id.ts";
import type { UpdateSource } from "./update_source.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import { UpstreamInstances } from "./upstream_instances.ts";
import { upstreamUpdate } from "./upstream_update.ts";

/** The update comes directly from the upstream. */
const DIRECT_SOURCE: UpdateSource = { reporter: "", age: 0 };

/** Time without an update after which an instance is removed. */
const RETENTION_MS = 60_000;
/**
 * Time for which a later instance at an address takes precedence over updates
 * of an earlier one: two heartbeat intervals. They may have been seen in the
 * wrong order, so silence of the later one ends it.
 */
const SUPERSEDED_WINDOW: Milliseconds = 2500;
/**
 * Time after its first update in which a departure without a start time isn't
 * attributed to an instance if an earlier one exists: updates may be seconds
 * late.
 */
const NEW_INSTANCE_WINDOW: Milliseconds = 5000;

/**
 * Smaller differences between starts of a drain don't count: each process that
 * passes one on adds the time of an exchange.
 */
const MIN_DRAIN_CORRECTION: Milliseconds = 100;

/**
 * Shorter ages aren't passed on, so that times of updates that came by one
 * replica more may differ by as much.
 */
const AGE_TOLERANCE: Milliseconds = 500;

/**
 * The upstreams that registered themselves. Updates from several sources may
 * arrive in any order and repeatedly; a departed or draining instance never
 * becomes ready again, and only the current instance of each upstream counts.
 *
 * @public
 */
export class UpstreamDirectory {
  /** By instance ID. */
  readonly #known = new Map<string, KnownUpstream>();
  /** Instance IDs by address, as searching all instances would be slow. */
  readonly #idsAt = new Map<string, Set<string>>();
  readonly #instances = new UpstreamInstances();
  /** Whether an upstream is listed; see `limit`. */
  #isFollowed: (record: UpstreamRecord) => boolean = () => true;
  /** IDs of instances that aren't listed. */
  readonly #unfollowed = new Set<string>();
  /** When upstreams last departed without naming a start, by name. */
  readonly #unnamedDepartures = new Map<string, Milliseconds>();
  readonly #leavingSince: (id: string) => Milliseconds | undefined;

  /**
   * @param leavingSince When an instance first told this process that it
   *     leaves. It counts as draining, whatever its heartbeats report.
   */
  constructor(
    leavingSince: (id: string) => Milliseconds | undefined = () => undefined,
  ) {
    this.#leavingSince = leavingSince;
  }

  /**
   * Merges an update.
   *
   * @returns How the update changed the record.
   */
  merge(
    reported: UpstreamRecord,
    now: Milliseconds,
    source: UpdateSource = DIRECT_SOURCE,
  ): MergeOutcome {
    // Processes of releases without start times send no name.
    const update = { ...reported, name: reported.name ?? reported.id };
    if (update.state === "gone" && update.isStartUnnamed === true) {
      this.#recordUnnamedDeparture(update.name, now - source.age);
    }
    const departed = this.#findDepartedByName(update, now);
    if (departed !== undefined) {
      this.remove(departed, now, source);
      return "changed";
    }
    const entry = this.#known.get(update.id);
    const known = entry?.record;
    if (known !== undefined && !upstreamUpdate.isNewer(update, known)) {
      return this.#mergeDrainStart(entry!, update, { now, source });
    }
    // A heartbeat may be delayed by a partition and arrive after its sender
    // crashed.
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

  /** A late report may still tell that a drain began earlier than was known. */
  #mergeDrainStart(
    known: KnownUpstream,
    { id, state }: UpstreamRecord,
    { now, source: { drainAge } }: { now: Milliseconds; source: UpdateSource },
  ): MergeOutcome {
    if (
      state !== "draining" || known.record.state !== "draining" ||
      drainAge === undefined
    ) {
      return "late";
    }
    const start = now - drainAge;
    if (start > (known.drainingSince ?? Infinity) - MIN_DRAIN_CORRECTION) {
      return "late";
    }
    this.#known.set(id, {
      ...known,
      drainingSince: this.#boundByStatement(id, start),
    });
    return "changed";
  }

  /**
   * ID of the instance that an update concerns. It differs from the update's ID
   * only for a departure that names no start time.
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

  /** Applies a heartbeat without changes of a known upstream. */
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
   * ID of the instance that a departure concerns. Without a start time it is
   * the current instance, unless that is so new that an earlier one may be
   * meant.
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

  /**
   * Records that an instance departed.
   *
   * @param options.isStartUnnamed Whether the departure named no start.
   */
  remove(
    id: string,
    now: Milliseconds,
    { isStartUnnamed = false, ...source }: UpdateSource & {
      isStartUnnamed?: boolean;
    } = DIRECT_SOURCE,
  ): UpstreamRecord {
    const known = this.#known.get(id)?.record;
    if (isStartUnnamed) {
      this.#recordUnnamedDeparture(known?.name ?? id, now - source.age);
    }
    const record: UpstreamRecord = {
      ...(known ?? { ...UNKNOWN_UPSTREAM, name: id }),
      ...(isStartUnnamed ? { isStartUnnamed } : {}),
      id,
      state: "gone",
      sequence: (known?.sequence ?? 0) + 1,
    };
    this.#store(record, now, source);
    return record;
  }

  /**
   * Merges an update of an instance that isn't the current one, though it may
   * turn out to be: the order of start times may be wrong. Its departure was
   * acknowledged and won't be sent again.
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
    const { isStartUnnamed } = update;
    this.#store({ ...known, state, isStartUnnamed }, now, source);
    return "changed";
  }

  #recordUnnamedDeparture(name: string, at: Milliseconds): void {
    const departedAt = this.#unnamedDepartures.get(name) ?? -Infinity;
    this.#unnamedDepartures.set(name, Math.max(departedAt, at));
  }

  /** Applies that an instance told this process that it leaves. */
  applyLeaving(id: string): void {
    const known = this.#known.get(id);
    if (known !== undefined) {
      this.#known.set(id, {
        ...known,
        record: this.#restate(known.record),
        drainingSince: this.#boundByStatement(id, known.drainingSince),
      });
    }
  }

  #restate(record: UpstreamRecord): UpstreamRecord {
    return record.state === "ready" &&
        this.#leavingSince(record.id) !== undefined
      ? { ...record, state: "draining", leavesIn: undefined }
      : record;
  }

  /**
   * A statement may come before the heartbeat that says the same. Alone it
   * doesn't tell the start, as the upstream may have told others before.
   */
  #boundByStatement(
    id: string,
    drainingSince: Milliseconds | undefined,
  ): Milliseconds | undefined {
    return drainingSince === undefined
      ? undefined
      : Math.min(drainingSince, this.#leavingSince(id) ?? Infinity);
  }

  #store(
    updated: UpstreamRecord,
    now: Milliseconds,
    source: UpdateSource,
  ): void {
    const { reporter, age } = source;
    const record = this.#restate(updated);
    const known = this.#known.get(record.id);
    const drainingSince = findDrainStart(updated, { known, now, source });
    const firstReceivedAt = known?.firstReceivedAt ?? now;
    if (known === undefined && !this.#isFollowed(record)) {
      this.#unfollowed.add(record.id);
    }
    this.#known.set(record.id, {
      record,
      receivedAt: Math.max(now - age, known?.receivedAt ?? -Infinity),
      firstReceivedAt,
      reporter,
      drainingSince: this.#boundByStatement(record.id, drainingSince),
    });
    if (known?.record.address !== record.address) {
      this.#idsAt.get(known?.record.address ?? "")?.delete(record.id);
      const ids = this.#idsAt.get(record.address) ?? new Set();
      this.#idsAt.set(record.address, ids.add(record.id));
    }
  }

  /** Whether a later instance at the same address was recently seen. */
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

  /** Current instances, including recently departed ones. */
  *list(): Iterable<KnownUpstream> {
    for (const [id, known] of this.#known) {
      if (
        this.#instances.isCurrent(known.record) && !this.#unfollowed.has(id)
      ) {
        yield this.#mayHaveDeparted(known)
          ? { ...known, record: { ...known.record, state: "draining" } }
          : known;
      }
    }
  }

  /**
   * Whether a departure that named no start came after the last heartbeat of an
   * instance. The next heartbeat shows that an earlier one was meant.
   */
  #mayHaveDeparted({ record, receivedAt }: KnownUpstream): boolean {
    const departedAt = this.#unnamedDepartures.get(record.name);
    return departedAt !== undefined && record.state === "ready" &&
      receivedAt <= departedAt + AGE_TOLERANCE;
  }

  /** Lists only some upstreams from now on; the others expire without news. */
  limit(isFollowed: (record: UpstreamRecord) => boolean): void {
    this.#isFollowed = isFollowed;
    this.#unfollowed.clear();
    for (const { record } of this.#known.values()) {
      if (!isFollowed(record)) {
        this.#unfollowed.add(record.id);
      }
    }
  }

  /** Number of ready upstreams of a service. */
  countReady(service: string): number {
    let count = 0;
    for (const { record } of this.list()) {
      count += record.service === service && record.state === "ready" ? 1 : 0;
    }
    return count;
  }

  /** Whether another instance of the upstream is the current one. */
  isReplaced(id: string): boolean {
    const known = this.#known.get(id);
    return known !== undefined && !this.#instances.isCurrent(known.record);
  }

  /** The current instance of an upstream, if it isn't this one. */
  findReplacement(id: string): KnownUpstream | undefined {
    const known = this.#known.get(id);
    return known !== undefined && this.isReplaced(id)
      ? this.#known.get(this.#instances.currentIdOf(known.record.name))
      : undefined;
  }

  /**
   * Whether an instance has ended, as one that was heard of later replaced it.
   * An earlier one that replaced it may only have been heard of late.
   */
  hasRestarted(id: string): boolean {
    const replacement = this.findReplacement(id);
    return replacement !== undefined &&
      replacement.firstReceivedAt >= this.#known.get(id)!.firstReceivedAt;
  }

  /**
   * Removes instances without recent updates, once no late update can arrive.
   */
  expire(now: Milliseconds): void {
    for (const [id, { receivedAt, record }] of this.#known) {
      if (now - receivedAt > RETENTION_MS) {
        this.#known.delete(id);
        this.#unfollowed.delete(id);
        this.#instances.remove(record);
        this.#unnamedDepartures.delete(record.name);
        this.#removeAddress(record);
      }
    }
  }

  #removeAddress({ id, address }: UpstreamRecord): void {
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

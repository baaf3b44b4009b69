import type { Milliseconds } from "@heroncleat/base";
import {
  type Announcement,
  checkEntryNotice,
  type MemberRecord,
  type SuspectNotice,
} from "@heroncleat/schema";
import {
  instanceId,
  type ReportedSuspect,
  RevisionCounter,
  SuspectRegistry,
} from "@heroncleat/serving";
import { SuspectWatcher } from "../common/suspect_watcher.ts";
import { probeUpstream } from "../common/probe_upstream.ts";
import type { ProcessContext } from "../common/process_context.ts";

const MAX_SUSPECTS_PER_MESSAGE = 50;
const FETCH_TIMEOUT: Milliseconds = 1000;

/**
 * Shares records of requests that crashed upstreams between entries. Changes
 * are sent to all live entries at once. An entry that starts or was partitioned
 * exchanges records with each entry that it finds alive.
 */
export class SuspectSync {
  readonly watcher: SuspectWatcher;
  readonly #context: ProcessContext;
  readonly #registry: SuspectRegistry;
  /** Incarnations of the announced upstreams, by name. */
  readonly #incarnations = new Map<string, number>();
  /**
   * Incarnations of the upstreams that timed out after a connection to them
   * broke, by name. Starting the next instance may take longer than a lease.
   */
  readonly #lapsedIncarnations = new Map<string, number>();
  /**
   * When the VMs of upstreams that announced their departure are reclaimed, by
   * name; undefined if it isn't known.
   */
  readonly #departing = new Map<string, Milliseconds | undefined>();
  /** Instance IDs of the announced upstreams. */
  readonly #runningInstances = new Set<string>();
  #aliveMembers = new Map<string, MemberRecord>();

  constructor(context: ProcessContext) {
    const { clock, metrics } = context;
    this.#context = context;
    this.#registry = new SuspectRegistry({
      revisions: new RevisionCounter(),
      // Upstreams of other services count too, which can only delay rejections.
      countUpstreams: () => this.#incarnations.size,
    });
    this.watcher = new SuspectWatcher({
      registry: this.#registry,
      clock,
      log: context.log("crashes"),
      metrics,
      // One that can't be tried hasn't ended, as far as is known.
      probe: async (address) => await probeUpstream(address) !== false,
      isReplaced: (instance) => !this.#runningInstances.has(instance),
      // Upstreams without requests aren't connected to.
      serviceOf: () => undefined,
      // The router already avoids failing upstreams.
      onCrash: () => {},
      report: (changed) =>
        this.#send([...this.#aliveMembers.values()], changed),
    });
    context.serve({
      "entry.suspects": (parameters) => this.#receive(parameters),
      "entry.known_suspects": () =>
        this.#registry.changesSince(0, clock.steady()),
    });
  }

  /** Returns the ID of an upstream's current instance. */
  instanceIdOf(name: string): string {
    return instanceId(name, this.#incarnations.get(name));
  }

  /** Whether an instance is announced, by its ID. */
  isRunning(instance: string): boolean {
    return this.#runningInstances.has(instance);
  }

  isDeparting(name: string): boolean {
    return this.#departing.has(name);
  }

  /**
   * When the VM of an upstream is reclaimed, on the `steady` clock; undefined
   * if it isn't known.
   */
  reclaimedAt(name: string): Milliseconds | undefined {
    return this.#departing.get(name);
  }

  /**
   * Records an announcement; a later incarnation replaces the previous
   * instance.
   *
   * @param age Time since it was sent.
   */
  recordAnnouncement(
    { name, incarnation, state, reclaimIn }: Announcement,
    age: Milliseconds,
  ): void {
    if (state === "leaving") {
      const sentAt = this.#context.clock.steady() - age;
      this.#departing.set(
        name,
        reclaimIn === undefined ? undefined : sentAt + reclaimIn,
      );
    } else {
      this.#departing.delete(name);
    }
    const announced = this.#incarnations.get(name);
    if (announced !== undefined && incarnation <= announced) {
      return;
    }
    const previous = announced ?? this.#lapsedIncarnations.get(name);
    this.#lapsedIncarnations.delete(name);
    this.#incarnations.set(name, incarnation);
    this.#runningInstances.add(this.instanceIdOf(name));
    if (previous !== undefined && incarnation > previous) {
      const previousInstance = instanceId(name, previous);
      this.#runningInstances.delete(previousInstance);
      this.watcher.recordCrash(previousInstance);
    }
  }

  recordLapse(name: string): void {
    const instance = this.instanceIdOf(name);
    const incarnation = this.#incarnations.get(name);
    if (incarnation !== undefined && this.watcher.isUndecided(instance)) {
      this.#lapsedIncarnations.set(name, incarnation);
    }
    this.#runningInstances.delete(instance);
    this.#incarnations.delete(name);
    this.#departing.delete(name);
  }

  /** Updates the set of live entries and exchanges records with new ones. */
  updateMembers(members: readonly MemberRecord[]): void {
    const { name } = this.#context.settings.daemon;
    const aliveMembers = new Map<string, MemberRecord>();
    for (const member of members) {
      if (member.state !== "alive" || member.name === name) {
        continue;
      }
      aliveMembers.set(member.name, member);
      if (!this.#aliveMembers.has(member.name)) {
        void this.#exchangeWith(member);
      }
    }
    this.#aliveMembers = aliveMembers;
  }

  /** Removes expired records. */
  expire(): void {
    this.watcher.expire();
    for (const [name, incarnation] of this.#lapsedIncarnations) {
      if (!this.watcher.isUndecided(instanceId(name, incarnation))) {
        this.#lapsedIncarnations.delete(name);
      }
    }
  }

  #receive(parameters: unknown): void {
    const notice = { kind: "suspects", ...(parameters as object) };
    if (checkEntryNotice(notice)) {
      this.watcher.mergeReports((notice as SuspectNotice).suspects);
    }
  }

  #send(
    members: readonly MemberRecord[],
    suspects: readonly ReportedSuspect[],
  ): void {
    for (
      let offset = 0;
      offset < suspects.length;
      offset += MAX_SUSPECTS_PER_MESSAGE
    ) {
      const batch = suspects.slice(offset, offset + MAX_SUSPECTS_PER_MESSAGE);
      for (const { address } of members) {
        this.#context.pool.notify(address, "entry.suspects", {
          suspects: batch,
        });
      }
    }
  }

  /** Fetches the member's records and sends it this entry's. */
  async #exchangeWith(member: MemberRecord): Promise<void> {
    const { pool, clock, log } = this.#context;
    try {
      const suspects = await pool.call(member.address, "entry.known_suspects", {
        parameters: {},
        timeout: FETCH_TIMEOUT,
      }) as readonly ReportedSuspect[];
      for (
        let offset = 0;
        offset < suspects.length;
        offset += MAX_SUSPECTS_PER_MESSAGE
      ) {
        this.#receive({
          suspects: suspects.slice(offset, offset + MAX_SUSPECTS_PER_MESSAGE),
        });
      }
    } catch (error) {
      log("crashes").warn(
        `Can't fetch crash records from entry ${member.name}`,
        { error: String(error) },
      );
    }
    this.#send([member], this.#registry.changesSince(0, clock.steady()));
  }
}

import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  findRecordProblem,
  type Hub,
  type UpdateSource,
  type UpstreamRecord,
} from "@heroncleat/serving";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import { DepartureReplicator } from "./departure_replicator.ts";
import { DepartureStore } from "./departure_store.ts";
import type { UpdateOutcome } from "./update_outcome.ts";

/** Limits text from other processes in log lines. */
const MAX_LOGGED_CHARACTERS = 200;
/** Of records on disk it isn't known how old they are. */
const STORED_SOURCE: UpdateSource = { reporter: "disk", age: 0 };
/** RPC method by which members replicate a departure. */
const DEPARTURE_METHOD = "hub.leave";

type UpdateOptions = {
  readonly hub: Hub;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly pool: PeerPool;
  readonly ownAddress: string;
  /** host:port of the group's members; undefined while there is no group. */
  readonly members: () => readonly string[] | undefined;
  readonly toleratedLosses: () => number;
  /** Folder on this replica's disk. */
  readonly dataFolder: string;
  /** Names of the services in the configuration document, if there is one. */
  readonly services: () => ReadonlySet<string> | undefined;
};

/** A departure as one member sends it to another. */
type DepartureMessage = {
  readonly record: UpstreamRecord;
  readonly from: string;
};

/**
 * Processes the updates that upstreams send about themselves. A heartbeat is
 * acknowledged once it is in memory, a departure, which may be sent only once,
 * when it would survive the loss of this replica.
 */
export class UpstreamUpdates {
  readonly #options: UpdateOptions;
  readonly #store: DepartureStore;
  readonly #replicator: DepartureReplicator;

  constructor(options: UpdateOptions) {
    this.#options = options;
    const { hub, ownAddress, pool, members, toleratedLosses } = options;
    this.#store = new DepartureStore({
      folder: options.dataFolder,
      log: options.log,
      isExpired: (id) => hub.directory.get(id) === undefined,
    });
    this.#replicator = new DepartureReplicator({
      members,
      ownAddress,
      toleratedLosses,
      persist: (record) => this.#store.persist(record),
      send: async (member, record, timeout) => {
        const parameters: DepartureMessage = { record, from: ownAddress };
        await pool.call(member, DEPARTURE_METHOD, { parameters, timeout });
      },
    });
  }

  /** RPC methods for other members. */
  methods(): Readonly<Record<string, MethodHandler>> {
    return {
      [DEPARTURE_METHOD]: async (parameters) => {
        const { record, from } = parameters as DepartureMessage;
        this.#mergeDeparture(record, from);
        if (this.#options.members() === undefined) {
          // Before the replica has joined, its data folder must stay empty.
          throw new Error(
            "This replica has no group. Remedy: use another one.",
          );
        }
        await this.#store.persist(record);
        return true;
      },
    };
  }

  /** Restores the departures that were stored before this process started. */
  async restore(): Promise<void> {
    const { hub, clock } = this.#options;
    for (const record of await this.#store.read()) {
      hub.mergeUpstream(record, clock.steady(), STORED_SOURCE);
    }
  }

  /** Merges a heartbeat. */
  async merge(record: UpstreamRecord): Promise<UpdateOutcome> {
    const { hub, clock, log, services } = this.#options;
    const problem = findRecordProblem(record, {
      services: services(),
      record: hub.directory.get(record.id)?.record,
    });
    if (problem !== undefined) {
      this.#refuse(problem.kind, record.name, problem.message);
      return { kind: "refused", problem: problem.message };
    }
    const outcome = hub.mergeUpstream(record, clock.steady());
    if (outcome === "changed") {
      const { id, service, zone, address, state, sequence } = record;
      log.info(`An upstream is ${state}`, {
        upstream: id,
        service,
        zone,
        address,
        sequence,
        kind: record.isSpot ? "spot" : "on_demand",
        leavesIn: record.leavesIn ?? "",
      });
    }
    return record.state === "ready"
      ? { kind: "accepted" }
      : await this.#acknowledgeDeparture(record);
  }

  /**
   * Records that an upstream is gone.
   *
   * @param born When the departing instance started, if it reported that.
   */
  async remove(name: string, born?: Milliseconds): Promise<UpdateOutcome> {
    const { hub, clock, log } = this.#options;
    const id = hub.removeUpstream(name, clock.steady(), born);
    const record = hub.directory.get(id ?? name)?.record;
    if (id === undefined || record === undefined) {
      log.warn("Can't tell which instance of an upstream is gone", {
        upstream: name.slice(0, MAX_LOGGED_CHARACTERS),
      });
      return {
        kind: "unavailable",
        problem:
          `${name.slice(0, 80)} has recently restarted, and this report may ` +
          "be about its previous instance. Remedy: send the start time of the " +
          "departing instance, or send the report again.",
      };
    }
    log.info("An upstream is gone", { upstream: id });
    return await this.#acknowledgeDeparture(record);
  }

  /** Counts and logs a malformed update of an upstream. */
  recordUnreadable(name: string, problem: string): void {
    this.#refuse("unreadable", name, problem);
  }

  /** Drops the replication state of expired upstreams. */
  expire(): void {
    const { hub } = this.#options;
    this.#replicator.expire((id) => hub.directory.get(id) === undefined);
  }

  async #acknowledgeDeparture(record: UpstreamRecord): Promise<UpdateOutcome> {
    const { log, metrics } = this.#options;
    const { storedBy, isDurable, isNewlyDurable } = await this.#replicator
      .replicate(
        record,
      );
    const context = {
      upstream: record.id,
      state: record.state,
      knownBy: storedBy.join(" "),
    };
    if (isDurable) {
      // A draining upstream repeats its report.
      log[isNewlyDurable ? "info" : "debug"](
        "Acknowledges the departure of an upstream",
        context,
      );
      return { kind: "accepted" };
    }
    metrics.increment("upstream_leaves.unavailable");
    log.warn(
      "Too few replicas have stored the departure of an upstream",
      context,
    );
    return {
      kind: "unavailable",
      problem: "Too few control replicas confirmed the departure. " +
        "Remedy: send it to another one.",
    };
  }

  /**
   * It isn't known how long the message took, so the start of a drain is left
   * to the regular exchange.
   */
  #mergeDeparture(record: UpstreamRecord, from: string): void {
    const { hub, clock, log } = this.#options;
    const source = { reporter: from, age: 0 };
    const outcome = hub.mergeUpstream(record, clock.steady(), source);
    if (outcome === "changed") {
      log.info(`Received a report that an upstream is ${record.state}`, {
        upstream: record.id,
        by: from,
      });
    }
  }

  #refuse(kind: string, name: string, problem: string): void {
    const { log, metrics } = this.#options;
    metrics.increment(`upstream_updates.refused.${kind}`);
    log.warn("Refused updates of an upstream", {
      upstream: name.slice(0, MAX_LOGGED_CHARACTERS),
      reason: kind,
      problem: problem.slice(0, MAX_LOGGED_CHARACTERS),
    });
  }
}

import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  findRecordProblem,
  type Hub,
  type UpstreamRecord,
} from "@heroncleat/serving";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import { LeaveReplicator } from "./leave_replicator.ts";
import { LeaveStore } from "./leave_store.ts";
import type { UpdateOutcome } from "./update_outcome.ts";

/** Characters of somebody else's text that a log line holds. */
const MOST_LOGGED = 200;
/** By which members replicate that an upstream leaves. */
const LEAVE_METHOD = "hub.leave";

/** What the updates are taken in with. */
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
  /** Names of the services of the configuration, if there is one. */
  readonly services: () => ReadonlySet<string> | undefined;
};

/** A leave as a member passes it on. */
type LeaveMessage = { readonly record: UpstreamRecord; readonly from: string };

/**
 * Takes in what upstreams say of themselves. A heartbeat stands when it is in
 * memory, as the next one follows; that an upstream leaves may be said once, so
 * it is acknowledged when it would outlive this replica.
 */
export class UpstreamUpdates {
  readonly #options: UpdateOptions;
  readonly #store: LeaveStore;
  readonly #replicator: LeaveReplicator;

  constructor(options: UpdateOptions) {
    this.#options = options;
    const { hub, ownAddress, pool, members, toleratedLosses } = options;
    this.#store = new LeaveStore({
      folder: options.dataFolder,
      log: options.log,
      isForgotten: (id) => hub.directory.get(id) === undefined,
    });
    this.#replicator = new LeaveReplicator({
      members,
      ownAddress,
      toleratedLosses,
      keep: (record) => this.#store.keep(record),
      send: async (member, record, timeout) => {
        const parameters: LeaveMessage = { record, from: ownAddress };
        await pool.call(member, LEAVE_METHOD, { parameters, timeout });
      },
    });
  }

  /** What other members call. */
  methods(): Readonly<Record<string, MethodHandler>> {
    return {
      [LEAVE_METHOD]: async (parameters) => {
        const { record, from } = parameters as LeaveMessage;
        this.#learnLeave(record, from);
        if (this.#options.members() === undefined) {
          // Its disk isn't a member's yet, and nothing may be on it before.
          throw new Error("This replica has no group. Remedy: ask another.");
        }
        await this.#store.keep(record);
        return true;
      },
    };
  }

  /** Takes in which upstreams left before this process started. */
  async restore(): Promise<void> {
    const { hub, clock } = this.#options;
    for (const record of await this.#store.read()) {
      hub.mergeUpstream(record, clock.steady());
    }
  }

  /** Takes a heartbeat in. */
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
      : await this.#promise(record);
  }

  /**
   * Takes in that an upstream is gone.
   *
   * @param born When the start that leaves began, if it said so.
   */
  async remove(name: string, born?: Milliseconds): Promise<UpdateOutcome> {
    const { hub, clock, log } = this.#options;
    const id = hub.removeUpstream(name, clock.steady(), born);
    const record = hub.directory.get(id ?? name)?.record;
    if (id === undefined || record === undefined) {
      log.warn("Can't tell which start of an upstream is gone", {
        upstream: name.slice(0, MOST_LOGGED),
      });
      return {
        kind: "unavailable",
        problem: `${name.slice(0, 80)} has just started again, and this may ` +
          "be late word of the start before. Remedy: say when the start that " +
          "leaves was born, or send it again.",
      };
    }
    log.info("An upstream is gone", { upstream: id });
    return await this.#promise(record);
  }

  /** Counts and logs updates under a name that can't be read. */
  noteUnreadable(name: string, problem: string): void {
    this.#refuse("unreadable", name, problem);
  }

  /** Forgets leaves of upstreams that can't matter any more. */
  expire(): void {
    const { hub } = this.#options;
    this.#replicator.forget((id) => hub.directory.get(id) === undefined);
  }

  async #promise(record: UpstreamRecord): Promise<UpdateOutcome> {
    const { log, metrics } = this.#options;
    const { knownBy, isSafe, isNews } = await this.#replicator.replicate(
      record,
    );
    const context = {
      upstream: record.id,
      state: record.state,
      knownBy: knownBy.join(" "),
    };
    if (isSafe) {
      // One that drains says so again and again.
      log[isNews ? "info" : "debug"](
        "Acknowledges that an upstream leaves",
        context,
      );
      return { kind: "accepted" };
    }
    metrics.increment("upstream_leaves.unavailable");
    log.warn("Too few replicas know that an upstream leaves", context);
    return {
      kind: "unavailable",
      problem: "Too few control replicas confirm that it leaves. " +
        "Remedy: send it to another one.",
    };
  }

  #learnLeave(record: UpstreamRecord, from: string): void {
    const { hub, clock, log } = this.#options;
    const source = { reporter: from, age: 0 };
    const outcome = hub.mergeUpstream(record, clock.steady(), source);
    if (outcome === "changed") {
      log.info(`Learns that an upstream is ${record.state}`, {
        upstream: record.id,
        by: from,
      });
    }
  }

  #refuse(kind: string, name: string, problem: string): void {
    const { log, metrics } = this.#options;
    metrics.increment(`upstream_updates.refused.${kind}`);
    log.warn("Refused updates of an upstream", {
      upstream: name.slice(0, MOST_LOGGED),
      reason: kind,
      problem: problem.slice(0, MOST_LOGGED),
    });
  }
}

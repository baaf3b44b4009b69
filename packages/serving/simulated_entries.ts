import type { Milliseconds } from "@heroncleat/base";
import { drainAgeOf } from "./drain_age_of.ts";
import { exchangeInterval } from "./exchange_interval.ts";
import type { FeedReply } from "./feed_reply.ts";
import type { SimulatedReplicas } from "./simulated_replicas.ts";
import type { UpdateSource } from "./update_source.ts";
import { UpstreamBalancer } from "./upstream_balancer.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** The replica with which entries have full exchanges. */
const PRIMARY = 0;

type EntriesOptions = {
  readonly time: VirtualTime;
  readonly replicas: SimulatedReplicas;
  /** See `UpstreamBalancer`. */
  readonly drainTimeout: () => Milliseconds;
};

/** An entry as far as drains concern it. */
export type SimulatedEntry = {
  readonly directory: UpstreamDirectory;
  readonly balancer: UpstreamBalancer;
  readonly positions: Map<number, { feed: string; revision: number }>;
  /** Its loads as of its last exchange with the primary. */
  loads: Readonly<Record<string, UpstreamLoad>>;
  cutUntil: Milliseconds;
  requests: number;
  retries: number;
};

/**
 * Entries in virtual time, which exchange upstreams and loads with control
 * replicas.
 *
 * @internal
 */
export class SimulatedEntries {
  readonly #options: EntriesOptions;
  readonly #time: VirtualTime;
  readonly #entries: readonly SimulatedEntry[];

  constructor(count: number, options: EntriesOptions) {
    this.#options = options;
    this.#time = options.time;
    this.#entries = Array.from(
      { length: count },
      () => this.#createEntry(),
    );
  }

  start(): void {
    const { length } = this.#entries;
    const full = exchangeInterval.full(length);
    const short = exchangeInterval.short(length);
    for (const entry of this.#entries) {
      for (let index = 0; index < this.#options.replicas.count; index += 1) {
        const interval = index === PRIMARY ? full : short;
        this.#time.repeat(interval, () => this.#exchange(entry, index));
      }
    }
  }

  /** The entry at a random position between 0 and 1. */
  at(position: number): SimulatedEntry {
    return this.#entries[Math.floor(position * this.#entries.length)]!;
  }

  #createEntry(): SimulatedEntry {
    return {
      directory: new UpstreamDirectory(),
      balancer: new UpstreamBalancer({
        drainTimeout: this.#options.drainTimeout,
      }),
      positions: new Map(),
      loads: {},
      cutUntil: 0,
      requests: 0,
      retries: 0,
    };
  }

  #exchange(entry: SimulatedEntry, index: number): void {
    const requestedAt = this.#time.now;
    if (entry.cutUntil > requestedAt) {
      return;
    }
    const position = entry.positions.get(index) ?? { feed: "", revision: 0 };
    this.#options.replicas.exchange(index, position, (reply) => {
      const { now } = this.#time;
      if (entry.cutUntil <= now) {
        const transit = now - requestedAt;
        this.#applyReply(entry, reply, { index, transit });
      }
    });
  }

  /** As an entry of the product does. */
  #applyReply(
    entry: SimulatedEntry,
    reply: FeedReply,
    { index, transit }: { index: number; transit: Milliseconds },
  ): void {
    const { now } = this.#time;
    const reporter = `replica-${index}`;
    const ages = reply.ages ?? {};
    for (const record of reply.upstreams) {
      const source: UpdateSource = {
        reporter,
        age: ages[record.id] ?? 0,
        drainAge: drainAgeOf(record, { ...reply, transit }),
      };
      entry.directory.merge(record, now, source);
    }
    for (const [id, sequence] of Object.entries(reply.beats)) {
      const age = ages[id] ?? 0;
      entry.directory.refresh(id, now, { sequence, reporter, age });
    }
    entry.positions.set(index, reply);
    if (index === PRIMARY) {
      this.#shareLoads(entry);
    }
  }

  #shareLoads(entry: SimulatedEntry): void {
    const { now } = this.#time;
    entry.loads = entry.balancer.loads(now);
    const sums: Record<string, UpstreamLoad> = {};
    for (const other of this.#entries) {
      for (const [id, load] of Object.entries(other.loads)) {
        const { requests = 0, backlog = 0 } = sums[id] ?? {};
        if (other !== entry) {
          sums[id] = {
            requests: requests + load.requests,
            backlog: backlog + load.backlog,
          };
        }
      }
    }
    entry.balancer.replaceReportedLoads(sums, now);
  }
}

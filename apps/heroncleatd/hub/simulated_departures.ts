import type { Milliseconds, Random } from "@heroncleat/base";
import {
  Hub,
  UpstreamBalancer,
  UpstreamDirectory,
  type UpstreamRecord,
} from "@heroncleat/serving";
import { DepartureReplicator } from "./departure_replicator.ts";

const REPLICA_COUNT = 4;
const TOLERATED_LOSSES = 1;
const ENTRY_COUNT = 3;
const STEP: Milliseconds = 50;
const HEARTBEAT_INTERVAL: Milliseconds = 1000;
/** Interval between two reads of another replica's change feed. */
const FEED_INTERVAL: Milliseconds = 200;
/** Interval between two exchanges of an entry with a replica. */
const EXCHANGE_INTERVAL: Milliseconds = 400;
/** Minimum time between a restart and the next loss. */
const CATCH_UP_TIME: Milliseconds = 1500;
const SIMULATED_TIME: Milliseconds = 14_000;
const UPSTREAM_NAME = "desk-1";

/** A control replica with its memory, its disk and its next start time. */
type SimulatedReplica = {
  readonly address: string;
  hub: Hub;
  replicator: DepartureReplicator;
  readonly disk: Map<string, UpstreamRecord>;
  upAt: Milliseconds;
};

/** An entry, which may be restarted. */
type SimulatedEntry = {
  directory: UpstreamDirectory;
  upAt: Milliseconds;
  /** Position up to which the entry has read each replica's change feed. */
  feeds: Map<string, { feed: string; revision: number }>;
};

type SimulationOptions = {
  readonly random: Random;
  /**
   * Whether departures are replicated; otherwise each replica acknowledges on
   * its own.
   */
  readonly isReplicated: boolean;
};

/**
 * When the departure was acknowledged and when an entry last chose the
 * upstream.
 */
type DepartureResult = {
  readonly acknowledgedAt: Milliseconds;
  readonly lastUsedAt: Milliseconds;
};

/**
 * Simulates the departure of an upstream while replicas lose their disks or
 * restart, alone or all at once, and entries restart. Runs the real state
 * machines in virtual time; calls complete instantly.
 */
export class SimulatedDepartures {
  readonly #options: SimulationOptions;
  readonly #replicas: SimulatedReplica[] = [];
  readonly #entries: SimulatedEntry[] = [];
  #now: Milliseconds = 0;
  #incarnations = 0;
  #sequence = 0;
  #nextLossAt: Milliseconds = 0;
  #lastUsedAt = -Infinity;

  constructor(options: SimulationOptions) {
    this.#options = options;
    for (let index = 0; index < REPLICA_COUNT; index += 1) {
      this.#replicas.push(this.#createReplica(`r${index}:1`));
    }
    for (let index = 0; index < ENTRY_COUNT; index += 1) {
      this.#entries.push(this.#createEntry(0));
    }
  }

  /** Runs the simulation of one departure. */
  async run(): Promise<DepartureResult> {
    const { random } = this.#options;
    const departAt = 2000 + random() * 2000;
    let acknowledgedAt = Infinity;
    for (; this.#now < SIMULATED_TIME; this.#now += STEP) {
      if (this.#now < departAt) {
        this.#heartbeat();
      } else if (acknowledgedAt === Infinity && await this.#reportDeparture()) {
        acknowledgedAt = this.#now;
        this.#failAfterAcknowledgement();
      }
      this.#injectFaults();
      this.#readFeeds();
      this.#exchange();
      this.#sendRequests();
    }
    return { acknowledgedAt, lastUsedAt: this.#lastUsedAt };
  }

  #createReplica(address: string): SimulatedReplica {
    this.#incarnations += 1;
    const replica: SimulatedReplica = {
      address,
      hub: new Hub(`${address}-${this.#incarnations}`),
      replicator: undefined as never,
      disk: new Map(),
      upAt: 0,
    };
    replica.replicator = this.#createReplicator(replica);
    return replica;
  }

  #createReplicator(replica: SimulatedReplica): DepartureReplicator {
    return new DepartureReplicator({
      members: () =>
        this.#options.isReplicated
          ? this.#replicas.map(({ address }) => address)
          : [replica.address],
      ownAddress: replica.address,
      toleratedLosses: () => TOLERATED_LOSSES,
      persist: (record) => {
        replica.disk.set(record.id, record);
        return Promise.resolve();
      },
      send: (member, record) => {
        const other = this.#replicas.find(({ address }) => address === member)!;
        if (!this.#isUp(other)) {
          return Promise.reject(new Error("The replica isn't running."));
        }
        const source = { reporter: replica.address, age: 0 };
        other.hub.mergeUpstream(record, this.#now, source);
        other.disk.set(record.id, record);
        return Promise.resolve();
      },
    });
  }

  #createEntry(upAt: Milliseconds): SimulatedEntry {
    return { directory: new UpstreamDirectory(), upAt, feeds: new Map() };
  }

  #isUp({ upAt }: { upAt: Milliseconds }): boolean {
    return upAt <= this.#now;
  }

  #running(): SimulatedReplica[] {
    return this.#replicas.filter((replica) => this.#isUp(replica));
  }

  #pickReplica(): SimulatedReplica | undefined {
    const running = this.#running();
    return running[Math.floor(this.#options.random() * running.length)];
  }

  #heartbeat(): void {
    if (this.#now % HEARTBEAT_INTERVAL === 0) {
      this.#sequence += 1;
      this.#pickReplica()?.hub.mergeUpstream(this.#record(), this.#now);
    }
  }

  #record(): UpstreamRecord {
    return {
      id: UPSTREAM_NAME,
      name: UPSTREAM_NAME,
      born: undefined,
      service: "desk",
      address: "10.0.0.1:80",
      zone: "a",
      slots: 4,
      sequence: this.#sequence,
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    };
  }

  /**
   * Reports the departure to one replica, and returns whether it was
   * acknowledged.
   */
  async #reportDeparture(): Promise<boolean> {
    const replica = this.#pickReplica();
    if (replica === undefined) {
      return false;
    }
    const { hub, replicator } = replica;
    hub.removeUpstream(UPSTREAM_NAME, this.#now);
    const record = hub.directory.get(UPSTREAM_NAME)!.record;
    const { isDurable } = await replicator.replicate(record);
    return isDurable;
  }

  /**
   * Fails replicas at the worst moment, before any entry or replica has read
   * the departure.
   */
  #failAfterAcknowledgement(): void {
    const { random } = this.#options;
    if (random() < 0.3) {
      for (const replica of this.#replicas) {
        this.#restart(replica, { losesDisk: false });
      }
    } else if (this.#now >= this.#nextLossAt) {
      const holders = this.#replicas.filter(({ disk }) =>
        disk.has(UPSTREAM_NAME)
      );
      const lost = holders[Math.floor(random() * holders.length)]!;
      this.#restart(lost, { losesDisk: random() < 0.5 });
    }
  }

  #injectFaults(): void {
    const { random } = this.#options;
    if (random() < 0.02 && this.#now >= this.#nextLossAt) {
      const lost = this.#replicas[Math.floor(random() * REPLICA_COUNT)]!;
      this.#restart(lost, { losesDisk: random() < 0.5 });
    }
    if (random() < 0.02) {
      const index = Math.floor(random() * ENTRY_COUNT);
      this.#entries[index] = this.#createEntry(this.#now + random() * 1000);
    }
    // A delayed heartbeat from before the departure.
    if (random() < 0.02 && this.#now > 1000) {
      const delayed = { ...this.#record(), sequence: this.#sequence };
      this.#pickReplica()?.hub.mergeUpstream(delayed, this.#now);
    }
  }

  #restart(
    replica: SimulatedReplica,
    { losesDisk }: { losesDisk: boolean },
  ): void {
    this.#incarnations += 1;
    replica.upAt = this.#now + 200 + this.#options.random() * 1500;
    this.#nextLossAt = replica.upAt + CATCH_UP_TIME;
    replica.hub = new Hub(`${replica.address}-${this.#incarnations}`);
    replica.replicator = this.#createReplicator(replica);
    if (losesDisk) {
      replica.disk.clear();
    }
    for (const record of replica.disk.values()) {
      replica.hub.mergeUpstream(record, replica.upAt);
    }
  }

  #readFeeds(): void {
    if (this.#now % FEED_INTERVAL !== 0) {
      return;
    }
    for (const reader of this.#running()) {
      for (const other of this.#running()) {
        if (other !== reader) {
          const fromStart = { feed: "", revision: 0 };
          const reply = other.hub.createFeedReply(fromStart, this.#now);
          const reporter = other.address;
          reader.hub.mergeFeed(reply, this.#now, { reporter });
        }
      }
    }
  }

  #exchange(): void {
    for (const entry of this.#entries.filter((each) => this.#isUp(each))) {
      for (const [index, { address, hub }] of this.#running().entries()) {
        // Entries don't query all replicas at the same time.
        if ((this.#now + index * STEP) % EXCHANGE_INTERVAL !== 0) {
          continue;
        }
        const position = entry.feeds.get(address) ?? { feed: "", revision: 0 };
        const reply = hub.createFeedReply(position, this.#now);
        for (const record of reply.upstreams) {
          const age = reply.ages?.[record.id] ?? 0;
          const source = { reporter: address, age };
          entry.directory.merge(record, this.#now, source);
        }
        for (const [id, sequence] of Object.entries(reply.beats)) {
          const age = reply.ages?.[id] ?? 0;
          const heartbeat = { sequence, reporter: address, age };
          entry.directory.refresh(id, this.#now, heartbeat);
        }
        entry.feeds.set(address, reply);
      }
    }
  }

  #sendRequests(): void {
    for (const entry of this.#entries.filter((each) => this.#isUp(each))) {
      const chosen = new UpstreamBalancer().choose(entry.directory.list(), {
        now: this.#now,
        requiresHeartbeats: true,
        request: {
          service: "desk",
          zone: "a",
          parts: [],
          promptTokens: 0,
          excluded: new Set(),
          engine: undefined,
          isConnected: undefined,
        },
      });
      if (chosen !== undefined) {
        this.#lastUsedAt = this.#now;
      }
    }
  }
}

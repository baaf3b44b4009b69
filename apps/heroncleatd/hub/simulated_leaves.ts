import type { Milliseconds, Random } from "@heroncleat/base";
import {
  Hub,
  UpstreamBalancer,
  UpstreamDirectory,
  type UpstreamRecord,
} from "@heroncleat/serving";
import { LeaveReplicator } from "./leave_replicator.ts";

const REPLICAS = 4;
const TOLERATED_LOSSES = 1;
const ENTRIES = 3;
const STEP: Milliseconds = 50;
const HEARTBEAT: Milliseconds = 1000;
/** Pause between two reads of another replica's feed. */
const FEED_PAUSE: Milliseconds = 200;
/** Pause of an entry between two exchanges with a replica. */
const EXCHANGE_PAUSE: Milliseconds = 400;
/** Time after which another replica may be lost. */
const CATCH_UP: Milliseconds = 1500;
const LENGTH: Milliseconds = 14_000;
const NAME = "desk-1";

/** One control replica: its memory, its disk and whether it runs. */
type SimulatedReplica = {
  readonly address: string;
  hub: Hub;
  replicator: LeaveReplicator;
  readonly disk: Map<string, UpstreamRecord>;
  upFrom: Milliseconds;
};

/** One entry, which may be started anew. */
type SimulatedEntry = {
  directory: UpstreamDirectory;
  upFrom: Milliseconds;
  /** How far it has read each replica's feed. */
  feeds: Map<string, { feed: string; revision: number }>;
};

/** What the simulation is run with. */
type SimulationOptions = {
  readonly random: Random;
  /** Whether replicas know each other; else each one acknowledges alone. */
  readonly isGroup: boolean;
};

/** When an entry last used the upstream. */
type Usage = {
  readonly acknowledgedAt: Milliseconds;
  readonly lastUsedAt: Milliseconds;
};

/**
 * An upstream that reports to control replicas and leaves, while replicas are
 * lost with their disks or without, restart all at once, and entries start
 * anew: the real state machines in virtual time. Calls take none.
 */
export class SimulatedLeaves {
  readonly #options: SimulationOptions;
  readonly #replicas: SimulatedReplica[] = [];
  readonly #entries: SimulatedEntry[] = [];
  #now: Milliseconds = 0;
  #boots = 0;
  #sequence = 0;
  #lossAllowedAt: Milliseconds = 0;
  #lastUsedAt = -Infinity;

  constructor(options: SimulationOptions) {
    this.#options = options;
    for (let at = 0; at < REPLICAS; at += 1) {
      this.#replicas.push(this.#createReplica(`r${at}:1`));
    }
    for (let at = 0; at < ENTRIES; at += 1) {
      this.#entries.push(this.#createEntry(0));
    }
  }

  /** Plays one leave to its end. */
  async run(): Promise<Usage> {
    const { random } = this.#options;
    const leaveAt = 2000 + random() * 2000;
    let acknowledgedAt = Infinity;
    for (; this.#now < LENGTH; this.#now += STEP) {
      if (this.#now < leaveAt) {
        this.#heartbeat();
      } else if (acknowledgedAt === Infinity && await this.#leave()) {
        acknowledgedAt = this.#now;
        this.#loseAfterAcknowledgement();
      }
      this.#disturb();
      this.#readFeeds();
      this.#exchange();
      this.#use();
    }
    return { acknowledgedAt, lastUsedAt: this.#lastUsedAt };
  }

  #createReplica(address: string): SimulatedReplica {
    this.#boots += 1;
    const replica: SimulatedReplica = {
      address,
      hub: new Hub(`${address}-${this.#boots}`),
      replicator: undefined as never,
      disk: new Map(),
      upFrom: 0,
    };
    replica.replicator = this.#createReplicator(replica);
    return replica;
  }

  #createReplicator(replica: SimulatedReplica): LeaveReplicator {
    return new LeaveReplicator({
      members: () =>
        this.#options.isGroup
          ? this.#replicas.map(({ address }) => address)
          : [replica.address],
      ownAddress: replica.address,
      toleratedLosses: () => TOLERATED_LOSSES,
      keep: (record) => {
        replica.disk.set(record.id, record);
        return Promise.resolve();
      },
      send: (member, record) => {
        const other = this.#replicas.find(({ address }) => address === member)!;
        if (!this.#isUp(other)) {
          return Promise.reject(new Error("It doesn't run."));
        }
        const source = { reporter: replica.address, age: 0 };
        other.hub.mergeUpstream(record, this.#now, source);
        other.disk.set(record.id, record);
        return Promise.resolve();
      },
    });
  }

  #createEntry(upFrom: Milliseconds): SimulatedEntry {
    return { directory: new UpstreamDirectory(), upFrom, feeds: new Map() };
  }

  #isUp({ upFrom }: { upFrom: Milliseconds }): boolean {
    return upFrom <= this.#now;
  }

  #running(): SimulatedReplica[] {
    return this.#replicas.filter((replica) => this.#isUp(replica));
  }

  #drawReplica(): SimulatedReplica | undefined {
    const running = this.#running();
    return running[Math.floor(this.#options.random() * running.length)];
  }

  #heartbeat(): void {
    if (this.#now % HEARTBEAT === 0) {
      this.#sequence += 1;
      this.#drawReplica()?.hub.mergeUpstream(this.#record(), this.#now);
    }
  }

  #record(): UpstreamRecord {
    return {
      id: NAME,
      name: NAME,
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

  /** Says once to a replica that it leaves; whether that is acknowledged. */
  async #leave(): Promise<boolean> {
    const replica = this.#drawReplica();
    if (replica === undefined) {
      return false;
    }
    const { hub, replicator } = replica;
    hub.removeUpstream(NAME, this.#now);
    const record = hub.directory.get(NAME)!.record;
    const { isSafe } = await replicator.replicate(record);
    return isSafe;
  }

  /** The worst moment: nobody has asked since. */
  #loseAfterAcknowledgement(): void {
    const { random } = this.#options;
    if (random() < 0.3) {
      for (const replica of this.#replicas) {
        this.#restart(replica, { losesDisk: false });
      }
    } else if (this.#now >= this.#lossAllowedAt) {
      const knowing = this.#replicas.filter(({ disk }) => disk.has(NAME));
      const lost = knowing[Math.floor(random() * knowing.length)]!;
      this.#restart(lost, { losesDisk: random() < 0.5 });
    }
  }

  #disturb(): void {
    const { random } = this.#options;
    if (random() < 0.02 && this.#now >= this.#lossAllowedAt) {
      const lost = this.#replicas[Math.floor(random() * REPLICAS)]!;
      this.#restart(lost, { losesDisk: random() < 0.5 });
    }
    if (random() < 0.02) {
      const at = Math.floor(random() * ENTRIES);
      this.#entries[at] = this.#createEntry(this.#now + random() * 1000);
    }
    // A heartbeat of before that a cut held up.
    if (random() < 0.02 && this.#now > 1000) {
      const late = { ...this.#record(), sequence: this.#sequence };
      this.#drawReplica()?.hub.mergeUpstream(late, this.#now);
    }
  }

  #restart(
    replica: SimulatedReplica,
    { losesDisk }: { losesDisk: boolean },
  ): void {
    this.#boots += 1;
    replica.upFrom = this.#now + 200 + this.#options.random() * 1500;
    this.#lossAllowedAt = replica.upFrom + CATCH_UP;
    replica.hub = new Hub(`${replica.address}-${this.#boots}`);
    replica.replicator = this.#createReplicator(replica);
    if (losesDisk) {
      replica.disk.clear();
    }
    for (const record of replica.disk.values()) {
      replica.hub.mergeUpstream(record, replica.upFrom);
    }
  }

  #readFeeds(): void {
    if (this.#now % FEED_PAUSE !== 0) {
      return;
    }
    for (const reader of this.#running()) {
      for (const other of this.#running()) {
        if (other !== reader) {
          const whole = { feed: "", revision: 0 };
          const reply = other.hub.createFeedReply(whole, this.#now);
          const reporter = other.address;
          reader.hub.mergeFeed(reply, this.#now, { reporter });
        }
      }
    }
  }

  #exchange(): void {
    for (const entry of this.#entries.filter((each) => this.#isUp(each))) {
      for (const [at, { address, hub }] of this.#running().entries()) {
        // Entries don't ask all replicas at the same moment.
        if ((this.#now + at * STEP) % EXCHANGE_PAUSE !== 0) {
          continue;
        }
        const known = entry.feeds.get(address) ?? { feed: "", revision: 0 };
        const reply = hub.createFeedReply(known, this.#now);
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

  #use(): void {
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

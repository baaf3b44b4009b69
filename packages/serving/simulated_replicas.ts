import type { Milliseconds } from "@heroncleat/base";
import type { FeedReply } from "./feed_reply.ts";
import { Hub } from "./hub.ts";
import type { SimulatedNetwork } from "./simulated_network.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Replicas that must have stored a departure before it is acknowledged. */
const REQUIRED_COPIES = 2;
const FEED_INTERVAL: Milliseconds = 200;

/** Position in the feed of a replica. */
type FeedPosition = { readonly feed: string; readonly revision: number };

type SimulatedReplica = {
  hub: Hub;
  isUp: boolean;
  /** Until when it reaches no other process; upstreams reach it. */
  cutUntil: Milliseconds;
  readonly stored: Map<string, UpstreamRecord>;
  /** Position in the feeds of the others. */
  readonly positions: Map<number, FeedPosition>;
};

/**
 * Control replicas in virtual time, which exchange what they know, store
 * departures before they acknowledge them, restart and are cut off.
 *
 * @internal
 */
export class SimulatedReplicas {
  readonly #time: VirtualTime;
  readonly #network: SimulatedNetwork;
  readonly #replicas: readonly SimulatedReplica[];
  #feedCount = 0;

  constructor(
    count: number,
    { time, network }: { time: VirtualTime; network: SimulatedNetwork },
  ) {
    this.#time = time;
    this.#network = network;
    this.#replicas = Array.from({ length: count }, () => ({
      hub: this.#createHub(),
      isUp: true,
      cutUntil: 0,
      stored: new Map(),
      positions: new Map(),
    }));
  }

  get count(): number {
    return this.#replicas.length;
  }

  start(): void {
    for (const index of this.#replicas.keys()) {
      this.#time.repeat(FEED_INTERVAL, () => this.#readFeeds(index));
    }
  }

  /**
   * Receives a report of an upstream.
   *
   * @param options.hold Called before a departure is handled.
   */
  receive(
    target: number,
    update: UpstreamRecord,
    { hold, acknowledge }: {
      hold: (proceed: () => void) => void;
      acknowledge: () => void;
    },
  ): void {
    const { hub, isUp } = this.#replicas[target]!;
    if (!isUp || this.#network.loses()) {
      return;
    }
    if (update.state === "ready") {
      hub.mergeUpstream(update, this.#time.now);
      acknowledge();
      return;
    }
    hold(() => {
      if (this.#replicas[target]!.hub === hub) {
        hub.mergeUpstream(update, this.#time.now);
        this.#replicate(target, update, acknowledge);
      }
    });
  }

  /** Receives that an upstream is gone. */
  remove(target: number, { name, born }: UpstreamRecord): void {
    const { hub, isUp } = this.#replicas[target]!;
    if (isUp) {
      hub.removeUpstream(name, this.#time.now, born);
    }
  }

  /** A replica restarts with the departures that it stored. */
  restart(target: number, downtime: Milliseconds): void {
    const replica = this.#replicas[target]!;
    replica.isUp = false;
    this.#time.schedule(downtime, () => {
      replica.hub = this.#createHub();
      replica.positions.clear();
      replica.isUp = true;
      for (const record of replica.stored.values()) {
        const source = { reporter: "disk", age: 0 };
        replica.hub.mergeUpstream(record, this.#time.now, source);
      }
    });
  }

  /** Cuts a replica off from all processes but upstreams. */
  cut(target: number, duration: Milliseconds): void {
    this.#replicas[target]!.cutUntil = this.#time.now + duration;
  }

  /** Replies to an entry that has read the feed of a replica. */
  exchange(
    index: number,
    position: FeedPosition,
    onReply: (reply: FeedReply) => void,
  ): void {
    const replica = this.#replicas[index]!;
    this.#network.send(() => {
      if (this.#isReached(replica)) {
        const reply = replica.hub.createFeedReply(position, this.#time.now);
        this.#network.send(() => onReply(reply));
      }
    });
  }

  #createHub(): Hub {
    this.#feedCount += 1;
    return new Hub(`feed-${this.#feedCount}`);
  }

  /** Sends a departure to the members, and waits until enough have stored it. */
  #replicate(
    from: number,
    record: UpstreamRecord,
    onDurable: () => void,
  ): void {
    let copies = 0;
    const store = () => {
      copies += 1;
      if (copies === REQUIRED_COPIES && this.#replicas[from]!.isUp) {
        onDurable();
      }
    };
    for (const [index, other] of this.#replicas.entries()) {
      if (index === from) {
        this.#time.schedule(this.#network.latency(), () => {
          other.stored.set(record.id, record);
          store();
        });
        continue;
      }
      this.#network.send(() => {
        if (this.#isReached(other) && this.#isReached(this.#replicas[from]!)) {
          const source = { reporter: `hub-${from}`, age: 0 };
          other.hub.mergeUpstream(record, this.#time.now, source);
          other.stored.set(record.id, record);
          this.#network.send(store);
        }
      });
    }
  }

  #readFeeds(index: number): void {
    const reader = this.#replicas[index]!;
    for (const [from, peer] of this.#replicas.entries()) {
      if (from === index || !this.#isReached(reader)) {
        continue;
      }
      const { hub } = reader;
      const requestedAt = this.#time.now;
      const position = reader.positions.get(from) ??
        { feed: "", revision: 0 };
      this.#network.send(() => {
        if (!this.#isReached(peer)) {
          return;
        }
        const reply = peer.hub.createFeedReply(position, this.#time.now);
        this.#network.send(() => {
          const { now } = this.#time;
          if (reader.hub === hub && this.#isReached(reader)) {
            const transit = now - requestedAt;
            hub.mergeFeed(reply, now, { reporter: `hub-${from}`, transit });
            reader.positions.set(from, reply);
          }
        });
      });
    }
  }

  #isReached({ isUp, cutUntil }: SimulatedReplica): boolean {
    return isUp && cutUntil <= this.#time.now;
  }
}

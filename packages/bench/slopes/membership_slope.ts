import { createSeededRandom } from "@heroncleat/base";
import { Membership, type MembershipEffect } from "@heroncleat/membership";
import type { Announcement } from "@heroncleat/schema";

/** What membership costs each entry. */
type MembershipCost = {
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
  readonly cpuPercent: number;
};

const SECONDS = 10;
const SETTLE_SECONDS = 6;
const STEP = 25;
const ANNOUNCE_INTERVAL = 500;
/** Frame header, JSON-RPC envelope. */
const ENVELOPE_BYTES = 70;

/** Runs entries with upstreams in virtual time and counts what they send. */
export function measureMembership(
  entries: number,
  upstreams: number,
): MembershipCost {
  const group = new MeasuredGroup(entries, upstreams);
  group.run(SETTLE_SECONDS);
  group.bytes = 0;
  group.messages = 0;
  const before = process.cpuUsage();
  group.run(SECONDS);
  const used = process.cpuUsage(before);
  const share = 1 / entries / SECONDS;
  return {
    bytesPerSecond: group.bytes * share,
    messagesPerSecond: group.messages * share,
    cpuPercent: (used.user + used.system) / 1e6 * share * 100,
  };
}

/** Entries in one process; messages arrive at once. */
class MeasuredGroup {
  readonly #entries = new Map<string, Membership>();
  readonly #upstreams: number;
  bytes = 0;
  messages = 0;
  #now = 0;
  #sequence = 0;
  #queue: { to: string; text: string }[] = [];

  constructor(entries: number, upstreams: number) {
    this.#upstreams = upstreams;
    for (let place = 0; place < entries; place += 1) {
      const name = `entry-${place}`;
      this.#entries.set(
        name,
        new Membership({
          name,
          address: name,
          callerAddress: `${name}:7000`,
          zone: `zone-${place % 14}`,
          incarnation: 1,
          seeds: ["entry-0", "entry-1", "entry-2"],
          probeInterval: 400,
          probeTimeout: 200,
          suspectTimeout: 1600,
          upstreamLease: 3000,
          indirectProbes: 3,
          maxGossipRecords: 12,
          syncInterval: 2000,
          retention: 60_000,
          broadcastFanout: 64,
        }, createSeededRandom(place + 1)),
      );
    }
  }

  run(seconds: number): void {
    const until = this.#now + seconds * 1000;
    while (this.#now < until) {
      this.#now += STEP;
      if (this.#now % ANNOUNCE_INTERVAL === 0) {
        this.#announceAll();
      }
      for (const membership of this.#entries.values()) {
        this.#take(membership.handle({ kind: "tick" }, this.#now));
      }
      this.#deliver();
    }
  }

  #announceAll(): void {
    this.#sequence += 1;
    const entries = [...this.#entries.values()];
    for (let place = 0; place < this.#upstreams; place += 1) {
      const home = entries[place % entries.length]!;
      const announcement = describeUpstream(place, this.#sequence);
      this.#take(home.handle({ kind: "announce", announcement }, this.#now));
    }
  }

  #take(effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "send") {
        // Coding the message is part of its cost.
        const text = JSON.stringify(effect.message);
        this.bytes += text.length + ENVELOPE_BYTES;
        this.messages += 1;
        this.#queue.push({ to: effect.address, text });
      }
    }
  }

  #deliver(): void {
    while (this.#queue.length > 0) {
      const queue = this.#queue;
      this.#queue = [];
      for (const { to, text } of queue) {
        const message = JSON.parse(text);
        const target = this.#entries.get(to)!;
        this.#take(target.handle({ kind: "message", message }, this.#now));
      }
    }
  }
}

function describeUpstream(place: number, sequence: number): Announcement {
  return {
    name: `engine-${place}`,
    address: `10.0.0.${place % 250}:8000`,
    incarnation: 1,
    sequence,
    kind: "model_engine",
    models: ["assistant"],
    zone: `zone-${place % 14}`,
    vmClass: "reclaimable",
    price: 1,
    labels: { place: "new" },
    checksFencing: true,
    slots: 16,
    prefillRate: 5000,
    decodeInterval: 20,
    state: "serving",
    load: { running: sequence % 16, waiting: 0, kvUsedShare: 0.5, at: 0 },
  };
}

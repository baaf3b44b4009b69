import { createSeededRandom } from "@heroncleat/base";
import { Membership, type MembershipEffect } from "@heroncleat/membership";
import type { Announcement } from "@heroncleat/schema";

/** Costs of the membership protocol for each entry. */
type MembershipCost = {
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
  readonly cpuPercent: number;
};

const MEASURED_SECONDS = 10;
const SETTLE_SECONDS = 6;
const STEP_MS = 25;
const ANNOUNCE_INTERVAL_MS = 500;
/** Size of the frame header and the JSON-RPC envelope. */
const ENVELOPE_BYTES = 70;

/**
 * Runs entries and upstreams in virtual time and measures the membership
 * traffic.
 */
export function measureMembership(
  entries: number,
  upstreams: number,
): MembershipCost {
  const group = new SimulatedGroup(entries, upstreams);
  group.run(SETTLE_SECONDS);
  group.bytes = 0;
  group.messages = 0;
  const before = process.cpuUsage();
  group.run(MEASURED_SECONDS);
  const used = process.cpuUsage(before);
  const perEntrySecond = 1 / entries / MEASURED_SECONDS;
  return {
    bytesPerSecond: group.bytes * perEntrySecond,
    messagesPerSecond: group.messages * perEntrySecond,
    cpuPercent: (used.user + used.system) / 1e6 * perEntrySecond * 100,
  };
}

/** Entries in one process; messages are delivered without delay. */
class SimulatedGroup {
  readonly #entries = new Map<string, Membership>();
  readonly #upstreams: number;
  bytes = 0;
  messages = 0;
  #now = 0;
  #sequence = 0;
  #queue: { to: string; text: string }[] = [];

  constructor(entries: number, upstreams: number) {
    this.#upstreams = upstreams;
    for (let index = 0; index < entries; index += 1) {
      const name = `entry-${index}`;
      this.#entries.set(
        name,
        new Membership({
          name,
          address: name,
          callerAddress: `${name}:7000`,
          zone: `zone-${index % 14}`,
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
        }, createSeededRandom(index + 1)),
      );
    }
  }

  run(seconds: number): void {
    const until = this.#now + seconds * 1000;
    while (this.#now < until) {
      this.#now += STEP_MS;
      if (this.#now % ANNOUNCE_INTERVAL_MS === 0) {
        this.#announceAll();
      }
      for (const membership of this.#entries.values()) {
        this.#applyEffects(membership.handle({ kind: "tick" }, this.#now));
      }
      this.#deliver();
    }
  }

  #announceAll(): void {
    this.#sequence += 1;
    const entries = [...this.#entries.values()];
    for (let index = 0; index < this.#upstreams; index += 1) {
      const reporter = entries[index % entries.length]!;
      const announcement = createAnnouncement(index, this.#sequence);
      this.#applyEffects(
        reporter.handle({ kind: "announce", announcement }, this.#now),
      );
    }
  }

  #applyEffects(effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "send") {
        // Encoding a message counts towards its processor time.
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
        this.#applyEffects(
          target.handle({ kind: "message", message }, this.#now),
        );
      }
    }
  }
}

function createAnnouncement(index: number, sequence: number): Announcement {
  return {
    name: `engine-${index}`,
    address: `10.0.0.${index % 250}:8000`,
    incarnation: 1,
    sequence,
    kind: "model_engine",
    models: ["assistant"],
    zone: `zone-${index % 14}`,
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

import { ok, strictEqual } from "node:assert/strict";
import { createSeededRandom } from "@heroncleat/base";
import type { ConsensusMessage, ReplicaMember } from "@heroncleat/schema";
import { Replica, type ReplicaEffect, type ReplicaEvent } from "./mod.ts";
import type { SimulatedNode } from "./simulated_node.ts";

const CLOCK_DRIFT = 0.05;
const STEP_MS = 10;

type Packet = {
  to: string;
  from: string;
  message: ConsensusMessage;
  bytes: number;
  /** Bytes that the link hasn't carried yet. */
  remaining: number;
};

/**
 * Replicas in one process with simulated time, messages and disks. Checks that
 * they stay consistent and that at most one of them holds a lease.
 */
export class SimulatedReplicas {
  static readonly electionTimeout = 300;
  static readonly maxAppendBytes = 2048;

  /** Larger messages are lost, as if they closed the connection. */
  maxMessageBytes = Infinity;
  /** Speed of the link from one replica to another, in `advance`. */
  bytesPerStep = Infinity;
  largestMessageBytes = 0;
  sentBytes = 0;
  readonly nodes = new Map<string, SimulatedNode>();
  readonly packets: Packet[] = [];
  readonly isolated = new Set<string>();
  readonly leaders = new Map<number, string>();
  readonly committed = new Map<number, string>();
  readonly acknowledged = new Set<string>();
  readonly minReadIndexes = new Map<string, number>();
  readonly founders: ReplicaMember[];
  completedReads = 0;
  time = 0;
  proposalCount = 0;

  readonly seed: number;

  readonly chunkLength: number;

  constructor(size: number, seed: number, { chunkLength = 512 } = {}) {
    this.seed = seed;
    this.chunkLength = chunkLength;
    this.founders = Array.from({ length: size }, (_, index) => ({
      id: `n${index}`,
      name: `r${index}`,
      address: "",
      zone: `z${index}`,
      voter: true,
    }));
    for (const [index, member] of this.founders.entries()) {
      this.add(member, 1 + CLOCK_DRIFT / 2 * (index % 2 === 0 ? 1 : -1) * 0.9);
    }
  }

  add(member: ReplicaMember, rate = 1): void {
    const node: SimulatedNode = {
      member,
      rate,
      clockOffset: 0,
      replica: undefined,
      stored: { snapshot: undefined, records: [] },
      unsynced: [],
      heldSends: [],
      durablePersist: 0,
      applied: [],
    };
    this.nodes.set(member.id, node);
    this.start(node);
  }

  start(node: SimulatedNode): void {
    node.unsynced = [];
    node.heldSends = [];
    node.durablePersist = 0;
    node.applied = node.stored.snapshot === undefined
      ? []
      : JSON.parse(node.stored.snapshot.data);
    node.replica = new Replica({
      id: node.member.id,
      founders: this.founders,
      heartbeatInterval: 50,
      electionTimeout: SimulatedReplicas.electionTimeout,
      clockDrift: CLOCK_DRIFT,
      chunkLength: this.chunkLength,
      maxAppendEntries: 8,
      maxAppendBytes: SimulatedReplicas.maxAppendBytes,
      trailingEntries: 3,
      trailingBytes: 2048,
    }, {
      // Replicas that start at the same time need different random seeds.
      random: createSeededRandom(
        this.seed + this.time + 7919 * [...this.nodes.values()].indexOf(node),
      ),
      stored: structuredClone(node.stored),
      at: this.at(node),
    });
  }

  at(node: SimulatedNode): { now: number; steady: number } {
    const steady = this.time * node.rate;
    return { now: steady + node.clockOffset, steady };
  }

  handleEvent(node: SimulatedNode, event: ReplicaEvent): void {
    if (node.replica === undefined) {
      return;
    }
    for (const effect of node.replica.handle(event, this.at(node))) {
      this.applyEffect(node, effect);
    }
  }

  applyEffect(node: SimulatedNode, effect: ReplicaEffect): void {
    switch (effect.kind) {
      case "persist":
        node.unsynced.push(effect);
        return;
      case "send":
        if (effect.afterPersist > node.durablePersist) {
          node.heldSends.push(effect);
        } else {
          this.#transmit(node, effect);
        }
        return;
      case "apply":
        this.checkApplied(node, effect.entry.index, effect.entry);
        return;
      case "restore":
        node.applied = JSON.parse(effect.snapshot.data);
        return;
      case "committed":
        // Changes of members may have no token.
        if (effect.token !== "") {
          this.acknowledged.add(effect.token);
        }
        return;
      case "read_ready": {
        const minIndex = this.minReadIndexes.get(effect.token) ?? 0;
        ok(effect.index >= minIndex, "a read returned an old index");
        this.completedReads += 1;
        return;
      }
      case "role":
        if (effect.role === "leader") {
          const knownLeader = this.leaders.get(effect.term);
          strictEqual(knownLeader ?? node.member.id, node.member.id);
          this.leaders.set(effect.term, node.member.id);
        }
        return;
      case "rejected":
        return;
    }
  }

  checkApplied(node: SimulatedNode, index: number, entry: unknown): void {
    const text = JSON.stringify(entry);
    strictEqual(this.committed.get(index) ?? text, text);
    this.committed.set(index, text);
    strictEqual(node.applied.length, index - 1);
    node.applied.push(text);
  }

  /** Syncs a node's disk, then sends the messages that waited for it. */
  sync(node: SimulatedNode): void {
    const batch = node.unsynced;
    node.unsynced = [];
    for (const persist of batch) {
      if (persist.snapshot !== undefined) {
        node.stored = {
          snapshot: structuredClone(persist.snapshot),
          records: [],
        };
      }
      node.stored.records.push(...structuredClone(persist.records));
      node.durablePersist = persist.number;
    }
    const ready = node.heldSends.filter((send) =>
      send.afterPersist <= node.durablePersist
    );
    node.heldSends = node.heldSends.filter((send) =>
      send.afterPersist > node.durablePersist
    );
    for (const send of ready) {
      this.applyEffect(node, send);
    }
    if (batch.length > 0) {
      this.handleEvent(node, {
        kind: "persisted",
        number: node.durablePersist,
      });
    }
  }

  deliver(index: number): void {
    const [packet] = this.packets.splice(index % this.packets.length, 1);
    if (packet === undefined) {
      return;
    }
    this.#receive(packet);
  }

  #receive(packet: Packet): void {
    const node = this.nodes.get(packet.to);
    const blocked =
      this.isolated.has(packet.to) !== this.isolated.has(packet.from);
    if (node !== undefined && !blocked) {
      this.handleEvent(node, { kind: "message", message: packet.message });
    }
  }

  /** @param length Characters added to the command. */
  propose(node: SimulatedNode, length = 0): void {
    this.proposalCount += 1;
    const token = `p${this.proposalCount}`;
    const command = length === 0 ? token : `${token} ${"x".repeat(length)}`;
    this.handleEvent(node, { kind: "propose", token, command });
  }

  read(node: SimulatedNode): void {
    const token = `r${this.minReadIndexes.size}`;
    this.minReadIndexes.set(token, Math.max(0, ...this.committed.keys()));
    this.handleEvent(node, { kind: "read", token });
  }

  snapshot(node: SimulatedNode): void {
    const index = node.replica?.appliedIndex ?? 0;
    if (node.replica !== undefined) {
      const data = JSON.stringify(node.applied);
      this.handleEvent(node, { kind: "snapshot_taken", index, data });
    }
  }

  /** Checks that at most one replica holds a valid lease. */
  checkLeases(): void {
    const holders = [...this.nodes.values()].filter((node) =>
      node.replica !== undefined &&
      node.replica.leaseUntil > this.at(node).now
    );
    ok(holders.length <= 1, "two replicas hold a lease");
  }

  /** Advances the time, delivers all messages and syncs all disks in order. */
  advance(milliseconds: number): void {
    const until = this.time + milliseconds;
    while (this.time < until) {
      this.time += STEP_MS;
      for (const node of this.nodes.values()) {
        this.handleEvent(node, { kind: "tick" });
        this.sync(node);
      }
      this.#deliverInOrder();
      for (const node of this.nodes.values()) {
        this.sync(node);
      }
      this.checkLeases();
    }
  }

  #transmit(
    node: SimulatedNode,
    { to, message }: Extract<ReplicaEffect, { kind: "send" }>,
  ): void {
    const bytes = Buffer.byteLength(JSON.stringify(message));
    this.largestMessageBytes = Math.max(this.largestMessageBytes, bytes);
    this.sentBytes += bytes;
    if (bytes <= this.maxMessageBytes) {
      const from = node.member.id;
      const copy = structuredClone(message);
      this.packets.push({ to, from, message: copy, bytes, remaining: bytes });
    }
  }

  /** Delivers what the links carry in one step, in the order sent. */
  #deliverInOrder(): void {
    const budgets = new Map<string, number>();
    const waiting: Packet[] = [];
    for (const packet of this.packets.splice(0)) {
      const link = `${packet.from} ${packet.to}`;
      const budget = budgets.get(link) ?? this.bytesPerStep;
      const carried = Math.min(budget, packet.remaining);
      packet.remaining -= carried;
      budgets.set(link, budget - carried);
      if (packet.remaining > 0) {
        waiting.push(packet);
      } else {
        this.#receive(packet);
      }
    }
    this.packets.unshift(...waiting);
  }

  get leader(): SimulatedNode | undefined {
    return [...this.nodes.values()].find((node) =>
      node.replica?.role === "leader"
    );
  }

  /** Checks that every acknowledged command is in the committed log. */
  checkAcknowledged(): void {
    const commands = new Set(
      [...this.committed.values()].map((text) =>
        String(JSON.parse(text).payload).split(" ", 1)[0]
      ),
    );
    for (const token of this.acknowledged) {
      ok(commands.has(token), `${token} was acknowledged and is lost`);
    }
  }
}
